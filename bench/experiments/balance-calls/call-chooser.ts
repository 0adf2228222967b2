/** Chooses targets in the simulation as an entry does for plain calls. */
import type {Maybe} from 'purify-ts';
import {Maybe as MaybeOf} from 'purify-ts';

import type {Clock, RandomSource} from '../../../src/core/clock/index.js';
import {chooseCallTarget} from '../../../src/core/placing/index.js';
import type {TargetView} from '../../../src/core/routing/index.js';
import type {
  ReportedLoad,
  TargetWork,
} from '../../../src/core/targets/index.js';
import {Target} from '../../../src/core/targets/index.js';
import type {ObservingChooser} from '../balance/sim.js';

const NONE: ReadonlySet<string> = new Set();

/**
 * Keeps a `Target` for each simulated one, whose load it learns from responses.
 *
 * @example
 * new CallChooser({clock, random, readsSlowness: true});
 */
export class CallChooser implements ObservingChooser {
  private readonly targets: Target[] = [];
  private readonly work: TargetWork[][] = [];

  constructor(
    private readonly options: {
      clock: Clock;
      random: RandomSource;
      readsSlowness: boolean;
    },
  ) {}

  choose(options: {targets: readonly TargetView[]}): Maybe<TargetView> {
    const {targets} = options;
    const {random} = this.options;
    for (const view of targets)
      this.targets[Number(view.vm)] ??= this.create(view);
    const chosen = chooseCallTarget({
      targets: this.targets,
      dataCentre: '',
      excluded: NONE,
      random,
    });
    return MaybeOf.fromNullable(targets.find(({vm}) => vm === chosen?.id));
  }

  recordSent(targetIndex: number): void {
    const work = this.targets[targetIndex]!.begin({tokens: 0});
    (this.work[targetIndex] ??= []).push(work);
  }

  recordResponse(targetIndex: number, load: ReportedLoad): void {
    const target = this.targets[targetIndex]!;
    const {slowness} = load;
    const isRead = this.options.readsSlowness;
    target.recordLoad({...load, slowness: isRead ? slowness : undefined});
    const ended = this.work[targetIndex]?.shift();
    if (ended !== undefined) target.end(ended);
  }

  private create({vm, dataCentre, service, capacity}: TargetView): Target {
    const {clock} = this.options;
    const address = `127.0.0.1:${vm}`;
    const about = {id: vm, address, dataCentre, service, slots: capacity};
    return new Target({clock, record: {...about, isDraining: false}});
  }
}

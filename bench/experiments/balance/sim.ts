/** Targets and entries in one process, on a clock that is moved by hand. */
import type {RandomSource} from '../../../src/core/clock/index.js';
import {ManualClock} from '../../../src/core/clock/index.js';
import type {
  TargetChooser,
  TargetView,
} from '../../../src/core/routing/index.js';
import {CountHistory} from '../../../src/core/routing/index.js';
import {exponential} from '../../lib/arrivals.js';
import {Samples} from '../../lib/samples.js';

const SAMPLE_MS = 50;
const REPORT_KEEP_MS = 2_000;

/** Age of the reports that the simulated entries go by. */
const REPORT_LAG_MS = 500;

/** How large the simulated site is. */
export interface SimOptions {
  readonly targets: number;
  readonly capacity: number;
  readonly entries: number;
  /** Offered load over capacity. */
  readonly load: number;
  readonly meanServiceMs: number;
  readonly forMs: number;
  readonly random: RandomSource;
  readonly createChooser: (clock: ManualClock) => TargetChooser;
}

interface SimTarget {
  running: number;
  readonly queue: Array<() => void>;
  /** Requests at the target, as reports show them a lag later. */
  readonly reported: CountHistory;
}

/** Runs arrivals through choosers and samples the queues at the targets. */
export class BalanceSim {
  /** Requests that wait at a target while another has a free slot. */
  readonly avoidableWaits = new Samples({
    name: 'waiting beside a free slot',
    unit: 'requests',
  });
  readonly waits = new Samples({name: 'wait at the target', unit: 'ms'});
  private readonly clock = new ManualClock();
  private readonly targets: SimTarget[];
  private readonly own: CountHistory[][];
  private readonly counts: number[][];
  private readonly choosers: TargetChooser[];

  constructor(private readonly options: SimOptions) {
    const {targets, entries, createChooser} = options;
    const each = <T>(n: number, create: () => T): T[] =>
      Array.from({length: n}, create);
    this.targets = each(targets, () => ({
      running: 0,
      queue: [],
      reported: new CountHistory({retentionMs: REPORT_KEEP_MS}),
    }));
    this.own = each(entries, () =>
      each(targets, () => new CountHistory({retentionMs: REPORT_KEEP_MS})),
    );
    this.counts = each(entries, () => each(targets, () => 0));
    this.choosers = each(entries, () => createChooser(this.clock));
  }

  run(): void {
    this.scheduleArrival();
    this.clock.repeat({periodMs: SAMPLE_MS, run: () => this.sample()});
    this.clock.advance(this.options.forMs);
  }

  private scheduleArrival(): void {
    const {targets, capacity, load, meanServiceMs, random} = this.options;
    const perMs = (targets * capacity * load) / meanServiceMs;
    const run = (): void => {
      this.arrive(random.below(this.options.entries));
      this.scheduleArrival();
    };
    this.clock.schedule({delayMs: exponential(1 / perMs, random), run});
  }

  private arrive(entry: number): void {
    const views = this.targets.map((_, i) => this.viewOf(entry, i));
    const query = {service: 's', exclude: [], dataCentre: '', prefix: ''};
    const chosen = this.choosers[entry]!.choose({query, targets: views});
    const at = Number(chosen.extract()!.vm);
    this.note(entry, at, 1);
    const arrivedMs = this.clock.now();
    const start = (): void => this.start({entry, at, arrivedMs});
    const target = this.targets[at]!;
    if (target.running < this.options.capacity) start();
    else target.queue.push(start);
    this.report(target);
  }

  private start(options: {entry: number; at: number; arrivedMs: number}): void {
    const {entry, at, arrivedMs} = options;
    const {meanServiceMs, random} = this.options;
    const target = this.targets[at]!;
    target.running++;
    this.waits.add(this.clock.now() - arrivedMs);
    const run = (): void => {
      target.running--;
      this.note(entry, at, -1);
      target.queue.shift()?.();
      this.report(target);
    };
    this.clock.schedule({delayMs: exponential(meanServiceMs, random), run});
  }

  private note(entry: number, at: number, by: number): void {
    const counts = this.counts[entry]!;
    counts[at]! += by;
    this.own[entry]![at]!.record({nowMs: this.clock.now(), count: counts[at]!});
  }

  private report(target: SimTarget): void {
    const count = target.running + target.queue.length;
    target.reported.record({nowMs: this.clock.now(), count});
  }

  private viewOf(entry: number, at: number): TargetView {
    const {capacity} = this.options;
    const atMs = this.clock.now() - REPORT_LAG_MS;
    const reported = this.targets[at]!.reported.countAt(atMs);
    return {
      vm: String(at),
      dataCentre: '',
      service: 's',
      incarnation: '',
      usable: true,
      draining: false,
      ownInFlight: this.counts[entry]![at]!,
      running: Math.min(reported, capacity),
      waiting: Math.max(0, reported - capacity),
      capacity,
      cachedPrefixes: [],
      ownInReport: this.own[entry]![at]!.countAt(atMs),
    };
  }

  private sample(): void {
    const {capacity} = this.options;
    const free = this.targets.reduce(
      (sum, {running}) => sum + capacity - running,
      0,
    );
    const waiting = this.targets.reduce((sum, t) => sum + t.queue.length, 0);
    this.avoidableWaits.add(Math.min(free, waiting));
  }
}

/** Compares load-aware with simpler target selection under delayed reports. */
import type {Maybe} from 'purify-ts';
import {Just} from 'purify-ts';

import {SeededRandom} from '../../../src/core/clock/index.js';
import type {
  ChoiceQuery,
  TargetChooser,
  TargetView,
} from '../../../src/core/routing/index.js';
import {
  OutlierDetector,
  LoadAwareChooser,
  PowerOfTwoChooser,
} from '../../../src/core/routing/index.js';
import type {Experiment} from '../../lib/types.js';
import type {SimOptions} from './sim.js';
import {BalanceSim} from './sim.js';

const TARGETS = 25;
/** Slots per target. */
const CAPACITY = 16;
const ENTRIES = 3;
const MEAN_SERVICE_MS = 1_000;
const SIMULATED_MS = 20_000;
/** Ratio of offered load to capacity. */
const DEFAULT_LOAD = 0.9;

/** Chooses the target with the lowest reported load. */
class LeastReportedChooser implements TargetChooser {
  choose(options: {
    query: ChoiceQuery;
    targets: readonly TargetView[];
  }): Maybe<TargetView> {
    const load = (t: TargetView): number => t.running + t.waiting;
    const least = options.targets.reduce((a, b) => (load(b) < load(a) ? b : a));
    return Just(least);
  }
}

/** Chooses the targets in turn. */
class RoundRobinChooser implements TargetChooser {
  private next = 0;

  choose(options: {targets: readonly TargetView[]}): Maybe<TargetView> {
    const {targets} = options;
    return Just(targets[this.next++ % targets.length]!);
  }
}

/**
 * Measures how long requests wait at targets and how many wait while another
 * target has a free slot.
 */
export const experiment: Experiment = {
  name: 'balance',
  summary: 'waiting at targets under lagged reports, by the way of choosing',
  starts: 'nothing; it simulates 3 entries and 25 targets, about 10 s',
  flags: ['--load X: offered load over capacity, 0.9 by default'],
  run: ({seed, flags}) => {
    const load = flags.number('load', DEFAULT_LOAD);
    const variants: ReadonlyArray<{
      name: string;
      createChooser: SimOptions['createChooser'];
    }> = [
      {
        name: 'corrected',
        createChooser: (clock) => {
          const outliers = new OutlierDetector({clock});
          return new LoadAwareChooser({
            random: new SeededRandom(seed),
            outliers,
          });
        },
      },
      {
        name: 'two choices, uncorrected',
        createChooser: () =>
          new PowerOfTwoChooser({random: new SeededRandom(seed)}),
      },
      {name: 'round robin', createChooser: () => new RoundRobinChooser()},
      {name: 'least reported', createChooser: () => new LeastReportedChooser()},
    ];
    const sims = variants.map(({name, createChooser}) => {
      const sim = new BalanceSim({
        targets: TARGETS,
        capacity: CAPACITY,
        entries: ENTRIES,
        load,
        meanServiceMs: MEAN_SERVICE_MS,
        durationMs: SIMULATED_MS,
        random: new SeededRandom(seed),
        createChooser,
      });
      sim.run();
      return {name, sim};
    });
    const p95Waits = sims.map(({sim}) => sim.waits.percentile(95));
    return Promise.resolve({
      cases: sims.flatMap(({name, sim}) =>
        [sim.waits.result(), sim.avoidableWaits.result()].map((row) => ({
          ...row,
          name: `${name}: ${row.name}`,
        })),
      ),
      ratios: sims.slice(1).map(({name}, i) => ({
        name: `p95 wait, corrected / ${name}`,
        value: p95Waits[0]! / Math.max(p95Waits[i + 1]!, Number.MIN_VALUE),
      })),
      bounds: [],
    });
  },
};

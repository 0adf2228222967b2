/** Compares ways to choose the targets of plain calls whose VMs slow down. */
import type {TargetChooser} from '../../../src/core/routing/index.js';
import {PowerOfTwoChooser} from '../../../src/core/routing/index.js';
import {SeededRandom} from '../../../src/core/clock/index.js';
import type {Experiment} from '../../lib/types.js';
import {CallChooser} from './call-chooser.js';
import type {SimOptions} from '../balance/sim.js';
import {BalanceSim} from '../balance/sim.js';

const TARGETS = 3;
/** Slots per target. */
const CAPACITY = 6;
const ENTRIES = 26;
const MEAN_SERVICE_MS = 35;
const SIMULATED_MS = 120_000;
const SLOW_TIMES = {share: 0.15, factor: 2.5, meanMs: 600};
/** Ratio of offered load to the capacity without slow times. */
const DEFAULT_LOAD = 0.6;

/**
 * Measures how long plain calls take at few targets that slow down at random,
 * from many entries that learn the load from responses only.
 */
export const experiment: Experiment = {
  name: 'balance-calls',
  summary: 'response times of calls at targets that slow down at times',
  starts: 'nothing; it simulates 26 entries and 3 targets, about 10 s',
  flags: ['--load X: offered load over capacity, 0.6 by default'],
  run: ({seed, flags}) => {
    const load = flags.number('load', DEFAULT_LOAD);
    const simulate = (createChooser: SimOptions['createChooser']) => {
      const sim = new BalanceSim({
        targets: TARGETS,
        capacity: CAPACITY,
        entries: ENTRIES,
        load,
        meanServiceMs: MEAN_SERVICE_MS,
        durationMs: SIMULATED_MS,
        random: new SeededRandom(seed),
        slowTimes: SLOW_TIMES,
        createChooser,
      });
      sim.run();
      return sim;
    };
    const createTwoChoices = (): TargetChooser =>
      new PowerOfTwoChooser({random: new SeededRandom(seed)});
    const variants = [
      {name: 'by expected time', readsSlowness: true},
      {name: 'by requests', readsSlowness: false},
    ].map(({name, readsSlowness}) => {
      const random = new SeededRandom(seed);
      const sim = simulate(
        (clock) => new CallChooser({clock, random, readsSlowness}),
      );
      return {name, sim};
    });
    const twoChoices = {name: 'two choices', sim: simulate(createTwoChoices)};
    return Promise.resolve({
      cases: [...variants, twoChoices].flatMap(({name, sim}) =>
        [sim.responseTimes.result(), sim.avoidableWaits.result()].map(
          (row) => ({...row, name: `${name}: ${row.name}`}),
        ),
      ),
      ratios: [],
      bounds: [],
    });
  },
};

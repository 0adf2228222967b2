/** Exposure and times of roll-outs over many seeds, without a network. */
import {RolloutState} from '../../../src/core/rollouts/index.js';
import type {
  FleetOptions,
  Meeting,
} from '../../../test/support/rollout-fleet.js';
import {Fleet, SETTINGS} from '../../../test/support/rollout-fleet.js';
import {Samples} from '../../lib/samples.js';
import type {BoundResult, Experiment} from '../../lib/types.js';

const DEFAULT_SEEDS = 100;
const DURATION_MS = 30_000;
const REQUESTS_PER_SECOND = 300;

const usual = ({random}: Meeting) => ({ms: 10 + random.float() * 20});

const failing = (isBad: (met: Meeting) => boolean): FleetOptions => ({
  outcome: (met) => ({
    ...usual(met),
    isFailure: met.isNew && isBad(met) && met.random.float() < 0.4,
  }),
});

const GOOD: ReadonlyArray<FleetOptions & {name: string}> = [
  {name: 'good', outcome: usual},
  {
    name: 'good, one new target fails',
    outcome: (met) => ({
      ...usual(met),
      isFailure: met.isNew && met.target === 1 && met.random.float() < 0.4,
    }),
  },
  {
    name: 'good, crash wave',
    outcome: (met) => ({
      ...usual(met),
      isLost:
        met.target % 3 === 0 &&
        met.nowMs > 9_000 &&
        met.nowMs < 11_000 &&
        met.random.float() < 0.6,
    }),
  },
];

const BAD: ReadonlyArray<FleetOptions & {name: string}> = [
  {name: 'bad at once', ...failing(() => true)},
  {name: 'bad later', ...failing(({nowMs}) => nowMs > 9_000)},
  {name: 'bad late', ...failing(({nowMs}) => nowMs > 17_000)},
  {name: 'bad under load', ...failing(({load}) => load > 8)},
  {name: 'bad on a route', ...failing(({route}) => route === '/b/')},
  {
    name: 'slow',
    outcome: (met) => ({
      ms: usual(met).ms * (met.isNew && met.random.float() < 0.4 ? 6 : 1),
    }),
  },
];

/** Plays roll-outs of a simulated fleet. */
export const experiment: Experiment = {
  name: 'rollouts',
  summary: 'exposure, time to roll back and to complete, false verdicts',
  starts: 'nothing; about a minute with 20 seeds',
  flags: ['--seeds <n>    plays of each case', '--entries <n>  entries'],
  run: ({seed, flags}) => {
    const seeds = flags.number('seeds', DEFAULT_SEEDS);
    const entries = flags.number('entries', 4);
    const cases = [];
    const bounds: BoundResult[] = [];
    const play = (options: FleetOptions, i: number) =>
      new Fleet({
        ...options,
        entries,
        durationMs: DURATION_MS,
        perSecond: REQUESTS_PER_SECOND,
        seed: seed * 1_000 + i,
      }).play();
    for (const {name, ...options} of GOOD) {
      const completed = new Samples({
        name: `${name}: completed after`,
        unit: 'ms',
      });
      let wrong = 0;
      for (let i = 0; i < seeds; i++) {
        const fleet = play(options, i);
        if (fleet.state === RolloutState.COMPLETED)
          completed.add(fleet.states.at(-1)!.atMs);
        else wrong++;
      }
      cases.push(completed.result());
      bounds.push(upper(`${name}: not completed`, 0, wrong));
    }
    for (const {name, ...options} of BAD) {
      const exposure = new Samples({
        name: `${name}: beyond the share`,
        unit: 'requests',
      });
      const back = new Samples({
        name: `${name}: last after the 50th`,
        unit: 'ms',
      });
      let wrong = 0;
      for (let i = 0; i < seeds; i++) {
        const fleet = play(options, i);
        if (fleet.state !== RolloutState.ROLLED_BACK) wrong++;
        const {sentToNew, total, badAtMs} = fleet;
        exposure.add(sentToNew.length - SETTINGS.exposureShare * total);
        const fiftiethMs = badAtMs[49];
        if (fiftiethMs !== undefined) back.add(fleet.lastSentMs() - fiftiethMs);
      }
      cases.push(exposure.result());
      cases.push(back.result());
      bounds.push(upper(`${name}: not rolled back`, 0, wrong));
    }
    return Promise.resolve({cases, ratios: [], bounds});
  },
};

function upper(name: string, stated: number, measured: number): BoundResult {
  return {name, stated, measured, holds: measured <= stated};
}

/** Wait of callers after a loss and cost of the recovery. */
import type {Samples} from '../../lib/samples.js';
import type {Experiment, ExperimentResult} from '../../lib/types.js';
import type {BaselineResult} from './baselines.js';
import {measureFixedTimeout, measureFromZero} from './baselines.js';
import type {LossResult} from './losses.js';
import {Loss, measureLoss} from './losses.js';

/** Maximum time until output resumes after any single loss. */
const MAX_WAIT_MS = 3_000;

/** Bounds of the 99th percentile of the wait with `weigh: latency`. */
const DEATH_P99_MS = 300;
const SILENCE_P99_MS = 1_200;

/** Bound with `weigh: resources`: one prefill of the lost context. */
const MAX_EXTRA_PREFILLS = 1;

const ROUNDS = 4;
const STREAMS = 20;

/** Kills engines and freezes or cuts off VMs while generations run. */
export const experiment: Experiment = {
  name: 'resume',
  summary: 'wait of callers after a loss, and extra tokens computed for it',
  starts: 'a platform, 8 engines with agents and relays, 1 entry; about 45 s',
  flags: [
    '--weigh latency|resources: what the deployment weighs, latency by default',
    `--rounds N: losses of each kind, ${ROUNDS} by default`,
    `--streams N: answers at once, ${STREAMS} by default`,
  ],
  run: async ({flags}) => {
    const weigh = flags.text('weigh', 'latency');
    const rounds = flags.number('rounds', ROUNDS);
    const streams = flags.number('streams', STREAMS);
    const baselines = Promise.all([measureFromZero(), measureFixedTimeout()]);
    const losses: LossResult[] = [];
    for (const loss of Object.values(Loss)) {
      losses.push(await measureLoss({loss, weigh, rounds, streams}));
    }
    return createResult(weigh, losses, await baselines);
  },
};

function createResult(
  weigh: string,
  losses: readonly LossResult[],
  baselines: readonly BaselineResult[],
): ExperimentResult {
  return {
    cases: [
      ...losses.flatMap(({wait, phases}) => [wait.result(), ...phases]),
      ...baselines.map(({wait}) => wait.result()),
    ],
    ratios: [
      ...losses.flatMap(createCostRatios),
      ...baselines.map(({name, redecodedPerLostToken: value}) => ({
        name: `${name}: decoded again per lost token`,
        value,
      })),
      ...baselines.map(({name, prefilledPerLostToken: value}) => ({
        name: `${name}: prefilled per lost token`,
        value,
      })),
      ...losses.map(({name, completeShare}) => ({
        name: `${name}: share of answers that were whole`,
        value: completeShare,
      })),
    ],
    bounds: losses.flatMap((loss) => createBounds(weigh, loss)),
  };
}

function createCostRatios({name, cost}: LossResult) {
  const {prefilled, decoded, wastedDecodes, extraPerPrefill} = cost;
  return [
    {name: `${name}: prefilled per lost token`, value: prefilled},
    {name: `${name}: decoded again per lost token`, value: decoded},
    {name: `${name}: decoded in vain at the lost VM`, value: wastedDecodes},
    {
      name: `${name}: extra, in prefills of what was lost`,
      value: extraPerPrefill,
    },
  ];
}

function createBounds(weigh: string, loss: LossResult) {
  const {name, wait, cost, kind} = loss;
  const maxWaitBound = createUpperBound(
    `${name}, max ms`,
    MAX_WAIT_MS,
    maxOf(wait),
  );
  if (weigh === 'resources') {
    const label = `${name}, extra computation in prefills of what was lost`;
    return [
      maxWaitBound,
      createUpperBound(label, MAX_EXTRA_PREFILLS, cost.extraPerPrefill),
    ];
  }
  const boundMs = kind === Loss.DEATH ? DEATH_P99_MS : SILENCE_P99_MS;
  return [
    maxWaitBound,
    createUpperBound(`${name}, p99 ms`, boundMs, wait.percentile(99)),
  ];
}

function maxOf(samples: Samples): number {
  return samples.percentile(100);
}

function createUpperBound(name: string, stated: number, measured: number) {
  return {name, stated, measured, holds: measured <= stated};
}

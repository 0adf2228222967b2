/** Goodput against offered load, compared with round robin. */
import type {RandomSource} from '../../../src/core/clock/index.js';
import {SeededRandom} from '../../../src/core/clock/index.js';
import {Site} from '../../../tools/lab/site.js';
import {createPoissonArrivals, sleep} from '../../lib/arrivals.js';
import type {RequestResult} from '../../lib/load-run.js';
import {runLoad} from '../../lib/load-run.js';
import {Samples} from '../../lib/samples.js';
import type {
  CaseResult,
  Experiment,
  ExperimentResult,
  PlotSeries,
} from '../../lib/types.js';

const ENGINES = 3;
const SLOTS = 4;
const PACE_MS = 10;
const TOKENS = 20;
const DEADLINE_MS = 1_000;
const STEP_MS = 2_500;

/** Start of each step, not counted because the load still builds up. */
const RAMP_MS = 500;
/** Pause after each step. */
const PAUSE_MS = 300;
/** Duration of the warm-up load before the first step, not counted. */
const WARM_UP_MS = 1_000;
const WARM_UP_FACTOR = 0.5;
/** Offered load of each step, relative to the capacity. */
const LOAD_FACTORS: readonly number[] = [0.5, 1, 1.5, 2, 3];
/** Required goodput of the last step, relative to the highest of all steps. */
const MIN_GOODPUT_RATIO = 0.95;

/** Capacity of all engines, in requests per second. */
const CAPACITY_PER_SECOND = (ENGINES * SLOTS * 1_000) / (PACE_MS * TOKENS);

/** A named set of URLs that receive the load. */
interface Setup {
  readonly name: string;
  readonly urls: readonly string[];
}

interface Step {
  readonly factor: number;
  readonly results: readonly RequestResult[];
  /** Rate of requests that met their deadline, relative to the capacity. */
  readonly goodput: number;
}

/** Compares goodput under overload with that of round robin. */
export const experiment: Experiment = {
  name: 'overload',
  summary: 'answers in time against offered load, 0.5 to 3 times capacity',
  starts: `a platform, ${ENGINES} engines, ${ENGINES} agents, 1 entry; about 40 s`,
  flags: ['--step-ms N: length of each step of load, 2500 by default'],
  run: async ({seed, flags}) => {
    const stepMs = flags.number('step-ms', STEP_MS);
    const site = await Site.create({
      entries: 1,
      engines: ENGINES,
      engineFlags: {'pace-ms': PACE_MS, capacity: SLOTS},
      editBase: raiseAccountLimit,
    });
    try {
      const urls = site.entries.map((entry) => entry.callersUrl);
      const system = await runSteps({
        setup: {name: 'system', urls},
        seed,
        stepMs,
      });
      const engines = site.engines.map((target) => target.standIn.url);
      const setup = {name: 'round robin', urls: engines};
      const roundRobin = await runSteps({setup, seed, stepMs});
      return summarise(system, roundRobin);
    } finally {
      await site.close();
    }
  },
};

/** Raises the account limit so that it does not limit the measured load. */
function raiseAccountLimit(base: Record<string, unknown>): void {
  const accounts = base['clientAccounts'] as Record<
    string,
    Record<string, unknown>
  >;
  accounts['demo']!['maxConcurrent'] = 10_000;
}

async function runSteps(options: {
  setup: Setup;
  seed: number;
  stepMs: number;
}): Promise<Step[]> {
  const {setup, seed, stepMs} = options;
  const random = new SeededRandom(seed);
  await sendStep({
    setup,
    random,
    factor: WARM_UP_FACTOR,
    durationMs: WARM_UP_MS,
  });
  const steps: Step[] = [];
  for (const factor of LOAD_FACTORS) {
    const results = await sendStep({setup, random, factor, durationMs: stepMs});
    steps.push({factor, results, goodput: computeGoodput(results, stepMs)});
  }
  return steps;
}

async function sendStep(options: {
  setup: Setup;
  random: RandomSource;
  factor: number;
  durationMs: number;
}): Promise<RequestResult[]> {
  const {setup, random, factor, durationMs} = options;
  const perSecond = factor * CAPACITY_PER_SECOND;
  const results = await runLoad({
    timesMs: createPoissonArrivals({perSecond, durationMs, random}),
    urlOf: (index) => setup.urls[index % setup.urls.length]!,
    createRequest: (index) => ({
      prompt: `request ${factor} ${index} [length=${TOKENS}]`,
      maxTokens: TOKENS,
    }),
    deadlineMs: DEADLINE_MS,
  });
  await sleep(PAUSE_MS);
  return results;
}

/**
 * Returns the rate of requests that met their deadline after the ramp and while
 * the load ran, relative to the capacity.
 */
function computeGoodput(
  results: readonly RequestResult[],
  stepMs: number,
): number {
  const counted = results.filter(
    ({metDeadline, endedAtMs}) =>
      metDeadline && endedAtMs > RAMP_MS && endedAtMs <= stepMs,
  );
  const perMs = counted.length / (stepMs - RAMP_MS);
  return (perMs * 1_000) / CAPACITY_PER_SECOND;
}

function summarise(
  system: readonly Step[],
  roundRobin: readonly Step[],
): ExperimentResult {
  const measured = computeLastToPeak(system);
  return {
    cases: [
      ...createCases('system', system),
      ...createCases('round robin', roundRobin),
    ],
    ratios: [
      ...createRatios('system', system),
      ...createRatios('round robin', roundRobin),
      {
        name: 'round robin: goodput at 3x / peak',
        value: computeLastToPeak(roundRobin),
      },
    ],
    bounds: [
      {
        name: 'system: goodput at 3x / peak, at least',
        stated: MIN_GOODPUT_RATIO,
        measured,
        holds: measured >= MIN_GOODPUT_RATIO,
      },
    ],
    plots: [
      {
        name: 'goodput',
        title: 'Answers in time, over what the engines can give',
        xLabel: 'offered load / capacity',
        yLabel: 'goodput / capacity',
        series: [
          createSeries('system', system),
          createSeries('round robin', roundRobin),
        ],
      },
    ],
  };
}

function computeLastToPeak(steps: readonly Step[]): number {
  const peak = Math.max(...steps.map(({goodput}) => goodput));
  return steps.at(-1)!.goodput / peak;
}

function createCases(name: string, steps: readonly Step[]): CaseResult[] {
  return steps.flatMap(({factor, results}) => {
    const answered = new Samples({
      name: `${name} ${factor}x answered in time`,
      unit: 'ms',
    });
    const refused = new Samples({
      name: `${name} ${factor}x refused`,
      unit: 'ms',
    });
    for (const result of results) {
      if (result.metDeadline) answered.add(result.durationMs);
      if (result.refused) refused.add(result.durationMs);
    }
    return [answered, refused]
      .filter(({count}) => count > 0)
      .map((samples) => samples.result());
  });
}

function createRatios(name: string, steps: readonly Step[]) {
  return steps.map(({factor, goodput}) => ({
    name: `${name}: goodput / capacity at ${factor}x`,
    value: goodput,
  }));
}

function createSeries(name: string, steps: readonly Step[]): PlotSeries {
  const points = steps.map(({factor, goodput}) => ({x: factor, y: goodput}));
  return {name, points};
}

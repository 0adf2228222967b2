/** Goodput against offered load, compared with round robin. */
import type {RandomSource} from '../../../src/core/clock/index.js';
import {SeededRandom} from '../../../src/core/clock/index.js';
import {Site} from '../../../tools/lab/site.js';
import {poissonArrivals, sleep} from '../../lib/arrivals.js';
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
const SETTLE_MS = 300;
/** Duration of the warm-up load before the first step, not counted. */
const WARM_MS = 1_000;
const WARM_FACTOR = 0.5;
const FACTORS: readonly number[] = [0.5, 1, 1.5, 2, 3];
const GOODPUT_TARGET = 0.95;

/** Capacity of all engines, in requests per second. */
const CAPACITY = (ENGINES * SLOTS * 1_000) / (PACE_MS * TOKENS);

/** A named set of URLs that receive the load. */
interface Setup {
  readonly name: string;
  readonly urls: readonly string[];
}

interface Step {
  readonly factor: number;
  readonly ends: readonly RequestResult[];
  /** Requests that met their deadline, relative to the capacity. */
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
      editBase: liftAccountLimit,
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

/** Raises the limit of the only account, which is not what is measured. */
function liftAccountLimit(base: Record<string, unknown>): void {
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
  await sendStep({setup, random, factor: WARM_FACTOR, forMs: WARM_MS});
  const steps: Step[] = [];
  for (const factor of FACTORS) {
    const ends = await sendStep({setup, random, factor, forMs: stepMs});
    steps.push({factor, ends, goodput: goodputOf(ends, stepMs)});
  }
  return steps;
}

async function sendStep(options: {
  setup: Setup;
  random: RandomSource;
  factor: number;
  forMs: number;
}): Promise<RequestResult[]> {
  const {setup, random, factor, forMs} = options;
  const perSecond = factor * CAPACITY;
  const ends = await runLoad({
    timesMs: poissonArrivals({perSecond, forMs, random}),
    urlOf: (index) => setup.urls[index % setup.urls.length]!,
    createRequest: (index) => ({
      prompt: `request ${factor} ${index} [length=${TOKENS}]`,
      maxTokens: TOKENS,
    }),
    deadlineMs: DEADLINE_MS,
  });
  await sleep(SETTLE_MS);
  return ends;
}

/** Requests that met their deadline while the load ran, relative to the capacity. */
function goodputOf(ends: readonly RequestResult[], stepMs: number): number {
  const counted = ends.filter(
    ({metDeadline: inTime, endedAtMs}) =>
      inTime && endedAtMs > RAMP_MS && endedAtMs <= stepMs,
  );
  const perMs = counted.length / (stepMs - RAMP_MS);
  return (perMs * 1_000) / CAPACITY;
}

function summarise(
  system: readonly Step[],
  naive: readonly Step[],
): ExperimentResult {
  const measured = lastOverPeak(system);
  return {
    cases: [...casesOf('system', system), ...casesOf('round robin', naive)],
    ratios: [
      ...ratiosOf('system', system),
      ...ratiosOf('round robin', naive),
      {name: 'round robin: goodput at 3x / peak', value: lastOverPeak(naive)},
    ],
    bounds: [
      {
        name: 'system: goodput at 3x / peak, at least',
        stated: GOODPUT_TARGET,
        measured,
        holds: measured >= GOODPUT_TARGET,
      },
    ],
    plots: [
      {
        name: 'goodput',
        title: 'Answers in time, over what the engines can give',
        xLabel: 'offered load / capacity',
        yLabel: 'goodput / capacity',
        series: [seriesOf('system', system), seriesOf('round robin', naive)],
      },
    ],
  };
}

function lastOverPeak(steps: readonly Step[]): number {
  const peak = Math.max(...steps.map(({goodput}) => goodput));
  return steps.at(-1)!.goodput / peak;
}

function casesOf(name: string, steps: readonly Step[]): CaseResult[] {
  return steps.flatMap(({factor, ends}) => {
    const answered = new Samples({
      name: `${name} ${factor}x answered in time`,
      unit: 'ms',
    });
    const refused = new Samples({
      name: `${name} ${factor}x refused`,
      unit: 'ms',
    });
    for (const end of ends) {
      if (end.metDeadline) answered.add(end.durationMs);
      if (end.refused) refused.add(end.durationMs);
    }
    return [answered, refused]
      .filter(({count}) => count > 0)
      .map((samples) => samples.result());
  });
}

function ratiosOf(name: string, steps: readonly Step[]) {
  return steps.map(({factor, goodput}) => ({
    name: `${name}: goodput / capacity at ${factor}x`,
    value: goodput,
  }));
}

function seriesOf(name: string, steps: readonly Step[]): PlotSeries {
  const points = steps.map(({factor, goodput}) => ({x: factor, y: goodput}));
  return {name, points};
}

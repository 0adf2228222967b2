/** Loss of a third of the engines under overload; callers retry at once. */
import {SeededRandom} from '../../../src/core/clock/index.js';
import {sendControl} from '../../../tools/lab/lab.js';
import type {Target} from '../../../tools/lab/site.js';
import {Site} from '../../../tools/lab/site.js';
import {runAtTimes, createPoissonArrivals, sleep} from '../../lib/arrivals.js';
import type {RequestResult} from '../../lib/load-run.js';
import {sendRequest} from '../../lib/load-run.js';
import {Samples} from '../../lib/samples.js';
import type {Experiment, ExperimentResult} from '../../lib/types.js';

const ENGINES = 3;
const SLOTS = 4;
const PACE_MS = 10;
const TOKENS = 20;
const DEADLINE_MS = 1_500;
/** Offered load relative to the capacity of all engines. */
const LOAD_FACTOR = 1.2;
const LOAD_DURATION_MS = 14_000;
const LOSS_AT_MS = 6_000;
const PLOT_BIN_MS = 500;
/** Time after the start and after the loss that is not counted. */
const RAMP_MS = 2_000;

/** Maximum number of immediate retries of a caller after refusals. */
const IMMEDIATE_RETRIES = 3;

/** Capacity of one engine, in requests per second. */
const ENGINE_CAPACITY_PER_SECOND = (SLOTS * 1_000) / (PACE_MS * TOKENS);

/** Maximum number of generations started at engines per admitted request. */
const MAX_AMPLIFICATION = 1.1;

/** Measures goodput around the loss and the amplification by retries. */
export const experiment: Experiment = {
  name: 'storm',
  summary: 'goodput and amplification when a third of the engines is lost',
  starts: `a platform, ${ENGINES} engines, ${ENGINES} agents, 1 entry; about 20 s`,
  flags: [],
  run: async ({seed}) => {
    const site = await Site.create({
      entries: 1,
      engines: ENGINES,
      engineFlags: {'pace-ms': PACE_MS, capacity: SLOTS},
      editBase: raiseAccountLimit,
    });
    try {
      return await runStorm(site, seed);
    } finally {
      await site.close();
    }
  },
};

function raiseAccountLimit(base: Record<string, unknown>): void {
  const accounts = base['clientAccounts'] as Record<
    string,
    Record<string, unknown>
  >;
  accounts['demo']!['maxConcurrent'] = 10_000;
}

async function runStorm(site: Site, seed: number): Promise<ExperimentResult> {
  const url = site.entries[0]!.callersUrl;
  const perSecond = LOAD_FACTOR * ENGINES * ENGINE_CAPACITY_PER_SECOND;
  const random = new SeededRandom(seed);
  const timesMs = createPoissonArrivals({
    perSecond,
    durationMs: LOAD_DURATION_MS,
    random,
  });
  const startMs = performance.now();
  const results: RequestResult[] = [];
  const startedAtLost = sleep(LOSS_AT_MS).then(() =>
    killEngine(site.engines[0]!),
  );
  await runAtTimes({
    timesMs,
    run: async (index) => {
      for (let i = 0; i <= IMMEDIATE_RETRIES; i++) {
        const result = await sendRequest(createLoadOptions(url), index);
        results.push({...result, endedAtMs: performance.now() - startMs});
        if (!result.refused) return;
      }
    },
  });
  const startedAtOthers = await Promise.all(
    site.engines.slice(1).map(countStarted),
  );
  const started = startedAtOthers.reduce((a, b) => a + b, await startedAtLost);
  return summarise(results, started);
}

function createLoadOptions(url: string) {
  return {
    urlOf: () => url,
    createRequest: (index: number) => ({
      prompt: `storm ${index} [length=${TOKENS}]`,
      maxTokens: TOKENS,
    }),
    deadlineMs: DEADLINE_MS,
  };
}

/** Kills an engine and its agent. Returns the number of generations started. */
async function killEngine(target: Target): Promise<number> {
  const started = await countStarted(target);
  target.standIn.proc.kill();
  target.agent.proc.kill();
  return started;
}

async function countStarted(target: Target): Promise<number> {
  const url = `${target.standIn.url}/counts`;
  const counts = (await sendControl({url})) as {started: number};
  return counts.started;
}

function summarise(
  results: readonly RequestResult[],
  started: number,
): ExperimentResult {
  const admitted = results.filter(({refused}) => !refused).length;
  const amplification = started / admitted;
  const before =
    computeGoodput(results, RAMP_MS, LOSS_AT_MS) /
    (ENGINES * ENGINE_CAPACITY_PER_SECOND);
  const remainingCapacity = (ENGINES - 1) * ENGINE_CAPACITY_PER_SECOND;
  const after =
    computeGoodput(results, LOSS_AT_MS + RAMP_MS, LOAD_DURATION_MS) /
    remainingCapacity;
  const answered = new Samples({name: 'answered in time', unit: 'ms'});
  const refused = new Samples({name: 'refused', unit: 'ms'});
  for (const result of results) {
    if (result.metDeadline) answered.add(result.durationMs);
    if (result.refused) refused.add(result.durationMs);
  }
  const bins = Array.from(
    {length: LOAD_DURATION_MS / PLOT_BIN_MS},
    (_, i) => i * PLOT_BIN_MS,
  );
  return {
    cases: [answered, refused]
      .filter(({count}) => count > 0)
      .map((samples) => samples.result()),
    ratios: [
      {name: 'goodput / capacity before the loss', value: before},
      {name: 'goodput / capacity that is left, after it', value: after},
      {
        name: 'requests sent by callers / admitted',
        value: results.length / admitted,
      },
    ],
    bounds: [
      {
        name: 'started at engines / admitted, at most',
        stated: MAX_AMPLIFICATION,
        measured: amplification,
        holds: amplification <= MAX_AMPLIFICATION,
      },
    ],
    plots: [
      {
        name: 'goodput',
        title: 'Answers in time; an engine is lost at 6 s',
        xLabel: 'seconds',
        yLabel: 'answers/s',
        series: [
          {
            name: 'in time',
            points: bins.map((fromMs) => ({
              x: fromMs / 1_000,
              y: computeGoodput(results, fromMs, fromMs + PLOT_BIN_MS),
            })),
          },
        ],
      },
    ],
  };
}

/** Returns the rate of requests that met their deadline between two times. */
function computeGoodput(
  results: readonly RequestResult[],
  fromMs: number,
  toMs: number,
): number {
  const within = results.filter(
    ({metDeadline, endedAtMs}) =>
      metDeadline && endedAtMs > fromMs && endedAtMs <= toMs,
  );
  return (within.length * 1_000) / (toMs - fromMs);
}

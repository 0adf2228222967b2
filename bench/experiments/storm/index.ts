/** Loss of a third of the engines at full load with callers that retry at once. */
import {SeededRandom} from '../../../src/core/clock/index.js';
import {sendControl} from '../../../tools/lab/lab.js';
import type {Target} from '../../../tools/lab/site.js';
import {Site} from '../../../tools/lab/site.js';
import {runAtTimes, poissonArrivals, sleep} from '../../lib/arrivals.js';
import type {RequestResult} from '../../lib/load-run.js';
import {sendOne} from '../../lib/load-run.js';
import {Samples} from '../../lib/samples.js';
import type {Experiment, ExperimentResult} from '../../lib/types.js';

const ENGINES = 3;
const SLOTS = 4;
const PACE_MS = 10;
const TOKENS = 20;
const DEADLINE_MS = 1_500;
const LOAD = 1.2;
const FOR_MS = 14_000;
const LOSS_AT_MS = 6_000;
const BIN_MS = 500;
const RAMP_MS = 2_000;

/** Immediate retries of a caller after a refusal. */
const IMMEDIATE_RETRIES = 3;

/** Capacity of one engine, in requests per second. */
const ENGINE_RATE = (SLOTS * 1_000) / (PACE_MS * TOKENS);

const AMPLIFICATION_TARGET = 1.1;

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
      editBase: liftAccountLimit,
    });
    try {
      return await runStorm(site, seed);
    } finally {
      await site.close();
    }
  },
};

function liftAccountLimit(base: Record<string, unknown>): void {
  const accounts = base['clientAccounts'] as Record<
    string,
    Record<string, unknown>
  >;
  accounts['demo']!['maxConcurrent'] = 10_000;
}

async function runStorm(site: Site, seed: number): Promise<ExperimentResult> {
  const url = site.entries[0]!.callersUrl;
  const perSecond = LOAD * ENGINES * ENGINE_RATE;
  const random = new SeededRandom(seed);
  const timesMs = poissonArrivals({perSecond, forMs: FOR_MS, random});
  const startMs = performance.now();
  const ends: RequestResult[] = [];
  const startedAtLost = sleep(LOSS_AT_MS).then(() =>
    killEngine(site.engines[0]!),
  );
  await runAtTimes({
    timesMs,
    run: async (index) => {
      for (let i = 0; i <= IMMEDIATE_RETRIES; i++) {
        const end = await sendOne(createLoad(url), index);
        ends.push({...end, endedAtMs: performance.now() - startMs});
        if (!end.refused) return;
      }
    },
  });
  const startedAtOthers = await Promise.all(
    site.engines.slice(1).map(countStarted),
  );
  const started = startedAtOthers.reduce((a, b) => a + b, await startedAtLost);
  return summarise(ends, started);
}

function createLoad(url: string) {
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
  ends: readonly RequestResult[],
  started: number,
): ExperimentResult {
  const admitted = ends.filter(({refused}) => !refused).length;
  const amplification = started / admitted;
  const before = goodput(ends, RAMP_MS, LOSS_AT_MS) / (ENGINES * ENGINE_RATE);
  const leftRate = (ENGINES - 1) * ENGINE_RATE;
  const after = goodput(ends, LOSS_AT_MS + RAMP_MS, FOR_MS) / leftRate;
  const answered = new Samples({name: 'answered in time', unit: 'ms'});
  const refused = new Samples({name: 'refused', unit: 'ms'});
  for (const end of ends) {
    if (end.metDeadline) answered.add(end.durationMs);
    if (end.refused) refused.add(end.durationMs);
  }
  const bins = Array.from({length: FOR_MS / BIN_MS}, (_, i) => i * BIN_MS);
  return {
    cases: [answered, refused]
      .filter(({count}) => count > 0)
      .map((samples) => samples.result()),
    ratios: [
      {name: 'goodput / capacity before the loss', value: before},
      {name: 'goodput / capacity that is left, after it', value: after},
      {
        name: 'requests sent by callers / admitted',
        value: ends.length / admitted,
      },
    ],
    bounds: [
      {
        name: 'started at engines / admitted, at most',
        stated: AMPLIFICATION_TARGET,
        measured: amplification,
        holds: amplification <= AMPLIFICATION_TARGET,
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
              y: goodput(ends, fromMs, fromMs + BIN_MS),
            })),
          },
        ],
      },
    ],
  };
}

/** Returns the rate of requests that met their deadline between two times. */
function goodput(
  ends: readonly RequestResult[],
  fromMs: number,
  toMs: number,
): number {
  const within = ends.filter(
    ({metDeadline: inTime, endedAtMs}) =>
      inTime && endedAtMs > fromMs && endedAtMs <= toMs,
  );
  return (within.length * 1_000) / (toMs - fromMs);
}

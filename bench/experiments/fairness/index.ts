/** Throughput of client accounts while one sends ten times its share. */
import {FairAdmission} from '../../../src/core/admission/index.js';
import type {ClientAccountConfig} from '../../../src/core/config/index.js';
import {PriorityClass, ServiceKind} from '../../../src/core/config/index.js';
import {ManualClock, SeededRandom} from '../../../src/core/clock/index.js';
import {sampleExponential, createPoissonArrivals} from '../../lib/arrivals.js';
import {Samples} from '../../lib/samples.js';
import type {Experiment} from '../../lib/types.js';

const ACCOUNTS = 10;
const GREEDY_FACTOR = 10;
const SLOTS = 32;
const MEAN_SERVICE_MS = 400;
const DEADLINE_MS = 4_000;
const SIMULATED_MS = 20_000;
const STEP_MS = 5;
const RESIZE_PERIOD_MS = 100;

/** Fair share of each account, in requests per second. */
const FAIR_SHARE = (SLOTS * 1_000) / MEAN_SERVICE_MS / ACCOUNTS;

interface SimRequest {
  readonly account: number;
  readonly atMs: number;
  readonly serviceMs: number;
}

/** Results by account; account 0 is the greedy one, the others are modest. */
interface SimResult {
  /** Number of requests sent. */
  readonly sent: number[];
  /** Requests that met their deadline. */
  readonly inTime: number[];
  readonly modestWaits: Samples;
}

/** Compares fair admission with a single first-come, first-served queue. */
export const experiment: Experiment = {
  name: 'fairness',
  summary: 'answers of nine accounts while a tenth sends ten times its share',
  starts: 'nothing; it simulates one entry with 32 slots, about 5 s',
  flags: [],
  run: async ({seed}) => {
    const requests = createRequests(seed);
    const fair = await runFair(requests, seed);
    const singleQueue = runSingleQueue(requests);
    const shareInTime = (o: SimResult): number => computeModestShare(o);
    return {
      cases: [fair.modestWaits.result(), singleQueue.modestWaits.result()],
      ratios: [
        {
          name: 'fair: answered in time, modest accounts',
          value: shareInTime(fair),
        },
        {name: 'one queue: the same', value: shareInTime(singleQueue)},
        {
          name: 'fair: greedy account / its share',
          value: computeGreedyRatio(fair),
        },
        {name: 'one queue: the same', value: computeGreedyRatio(singleQueue)},
      ],
      bounds: [],
    };
  },
};

function createRequests(seed: number): SimRequest[] {
  const random = new SeededRandom(seed);
  const requestsByAccount = Array.from({length: ACCOUNTS}, (_, account) => {
    // The other accounts send a little less than their share.
    const factor = account === 0 ? GREEDY_FACTOR : 0.8;
    const perSecond = FAIR_SHARE * factor;
    const times = createPoissonArrivals({
      perSecond,
      durationMs: SIMULATED_MS,
      random,
    });
    return times.map((atMs): SimRequest => {
      return {
        account,
        atMs,
        serviceMs: sampleExponential(MEAN_SERVICE_MS, random),
      };
    });
  });
  return requestsByAccount.flat().sort((a, b) => a.atMs - b.atMs);
}

async function runFair(
  requests: readonly SimRequest[],
  seed: number,
): Promise<SimResult> {
  const clock = new ManualClock();
  const admission = new FairAdmission({clock, random: new SeededRandom(seed)});
  const result = createResult('fair: wait of modest accounts', requests);
  const services = [{service: 's', slots: SLOTS, resumeSlots: 0}];
  const resize = (): void => admission.resize({liveEntries: 1, services});
  resize();
  clock.repeat({periodMs: RESIZE_PERIOD_MS, run: resize});
  let next = 0;
  while (clock.now() < SIMULATED_MS + DEADLINE_MS) {
    clock.advance(STEP_MS);
    for (; (requests[next]?.atMs ?? Infinity) <= clock.now(); next++) {
      admitRequest({
        admission,
        clock,
        request: requests[next]!,
        result,
      });
    }
    await new Promise((resolve) => setImmediate(resolve));
  }
  return result;
}

function admitRequest(options: {
  admission: FairAdmission;
  clock: ManualClock;
  request: SimRequest;
  result: SimResult;
}): void {
  const {admission, clock, request, result} = options;
  const query = {
    clientAccount: createAccount(request.account),
    service: SERVICE,
    deadlineAtMs: request.atMs + DEADLINE_MS,
    maxTokens: 1,
  };
  void admission.admit(query).map((ticket) => {
    const startMs = clock.now();
    const run = (): void => {
      ticket.release();
      recordCompletion({result, request, startMs, endMs: clock.now()});
    };
    clock.schedule({delayMs: request.serviceMs, run});
  });
}

/** Simulates a single first-come, first-served queue for all slots. */
function runSingleQueue(requests: readonly SimRequest[]): SimResult {
  const result = createResult('one queue: wait of modest accounts', requests);
  const freeAtMs = Array.from({length: SLOTS}, () => 0);
  for (const request of requests) {
    const slot = freeAtMs.indexOf(Math.min(...freeAtMs));
    const startMs = Math.max(request.atMs, freeAtMs[slot]!);
    const endMs = startMs + request.serviceMs;
    freeAtMs[slot] = endMs;
    recordCompletion({result, request, startMs, endMs});
  }
  return result;
}

function createResult(
  name: string,
  requests: readonly SimRequest[],
): SimResult {
  const sent = Array.from({length: ACCOUNTS}, () => 0);
  for (const {account} of requests) sent[account]!++;
  const inTime = sent.map(() => 0);
  return {sent, inTime, modestWaits: new Samples({name, unit: 'ms'})};
}

function recordCompletion(options: {
  result: SimResult;
  request: SimRequest;
  startMs: number;
  endMs: number;
}): void {
  const {result, request, startMs, endMs} = options;
  const {account, atMs} = request;
  if (account > 0) result.modestWaits.add(startMs - atMs);
  if (endMs - atMs <= DEADLINE_MS) result.inTime[account]!++;
}

/** Returns the share of modest accounts' requests that met their deadline. */
function computeModestShare({sent, inTime}: SimResult): number {
  const sum = (counts: number[]): number =>
    counts.slice(1).reduce((a, b) => a + b, 0);
  return sum(inTime) / sum(sent);
}

/** Returns the greedy account's in-time requests relative to its fair share. */
function computeGreedyRatio({inTime}: SimResult): number {
  return inTime[0]! / ((FAIR_SHARE * SIMULATED_MS) / 1_000);
}

function createAccount(index: number): ClientAccountConfig {
  const maxConcurrent = 100_000;
  return {name: `a${index}`, keySha256: '', weight: 1, maxConcurrent};
}

const SERVICE = {
  name: 's',
  kind: ServiceKind.GENERATION,
  models: [],
  idempotent: true,
  priorityClass: PriorityClass.NORMAL,
  deadlineMs: DEADLINE_MS,
  retryRatio: 0.1,
};

/** Throughput of client accounts while one sends ten times its share. */
import {FairAdmission} from '../../../src/core/admission/index.js';
import type {ClientAccountConfig} from '../../../src/core/config/index.js';
import {PriorityClass, ServiceKind} from '../../../src/core/config/index.js';
import {ManualClock, SeededRandom} from '../../../src/core/clock/index.js';
import {exponential, poissonArrivals} from '../../lib/arrivals.js';
import {Samples} from '../../lib/samples.js';
import type {Experiment} from '../../lib/types.js';

const ACCOUNTS = 10;
const GREEDY_FACTOR = 10;
const SLOTS = 32;
const MEAN_SERVICE_MS = 400;
const DEADLINE_MS = 4_000;
const FOR_MS = 20_000;
const STEP_MS = 5;
const RESIZE_MS = 100;

/** Fair share of each account, in requests per second. */
const SHARE = (SLOTS * 1_000) / MEAN_SERVICE_MS / ACCOUNTS;

interface SimRequest {
  readonly account: number;
  readonly atMs: number;
  readonly serviceMs: number;
}

interface Outcome {
  readonly sent: number[];
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
    const naive = runNaive(requests);
    const shareInTime = (o: Outcome): number => modestShare(o);
    return {
      cases: [fair.modestWaits.result(), naive.modestWaits.result()],
      ratios: [
        {
          name: 'fair: answered in time, modest accounts',
          value: shareInTime(fair),
        },
        {name: 'one queue: the same', value: shareInTime(naive)},
        {name: 'fair: greedy account / its share', value: greedyShare(fair)},
        {name: 'one queue: the same', value: greedyShare(naive)},
      ],
      bounds: [],
    };
  },
};

function createRequests(seed: number): SimRequest[] {
  const random = new SeededRandom(seed);
  const ofAccounts = Array.from({length: ACCOUNTS}, (_, account) => {
    // The other accounts send a little less than their share.
    const factor = account === 0 ? GREEDY_FACTOR : 0.8;
    const perSecond = SHARE * factor;
    const times = poissonArrivals({perSecond, forMs: FOR_MS, random});
    return times.map((atMs): SimRequest => {
      return {account, atMs, serviceMs: exponential(MEAN_SERVICE_MS, random)};
    });
  });
  return ofAccounts.flat().sort((a, b) => a.atMs - b.atMs);
}

async function runFair(
  requests: readonly SimRequest[],
  seed: number,
): Promise<Outcome> {
  const clock = new ManualClock();
  const admission = new FairAdmission({clock, random: new SeededRandom(seed)});
  const outcome = createOutcome('fair: wait of modest accounts', requests);
  const services = [{service: 's', slots: SLOTS, resumeSlots: 0}];
  const resize = (): void => admission.resize({liveEntries: 1, services});
  resize();
  clock.repeat({periodMs: RESIZE_MS, run: resize});
  let next = 0;
  while (clock.now() < FOR_MS + DEADLINE_MS) {
    clock.advance(STEP_MS);
    for (; (requests[next]?.atMs ?? Infinity) <= clock.now(); next++) {
      admitRequest({admission, clock, request: requests[next]!, outcome});
    }
    await new Promise((resolve) => setImmediate(resolve));
  }
  return outcome;
}

function admitRequest(options: {
  admission: FairAdmission;
  clock: ManualClock;
  request: SimRequest;
  outcome: Outcome;
}): void {
  const {admission, clock, request, outcome} = options;
  const query = {
    clientAccount: accountOf(request.account),
    service: SERVICE,
    deadlineAtMs: request.atMs + DEADLINE_MS,
    maxTokens: 1,
  };
  void admission.admit(query).map((ticket) => {
    const startMs = clock.now();
    const run = (): void => {
      ticket.release();
      recordCompletion({outcome, request, startMs, endMs: clock.now()});
    };
    clock.schedule({delayMs: request.serviceMs, run});
  });
}

/** Simulates a single queue for all slots. */
function runNaive(requests: readonly SimRequest[]): Outcome {
  const outcome = createOutcome('one queue: wait of modest accounts', requests);
  const freeAtMs = Array.from({length: SLOTS}, () => 0);
  for (const request of requests) {
    const slot = freeAtMs.indexOf(Math.min(...freeAtMs));
    const startMs = Math.max(request.atMs, freeAtMs[slot]!);
    const endMs = startMs + request.serviceMs;
    freeAtMs[slot] = endMs;
    recordCompletion({outcome, request, startMs, endMs});
  }
  return outcome;
}

function createOutcome(name: string, requests: readonly SimRequest[]): Outcome {
  const sent = Array.from({length: ACCOUNTS}, () => 0);
  for (const {account} of requests) sent[account]!++;
  const inTime = sent.map(() => 0);
  return {sent, inTime, modestWaits: new Samples({name, unit: 'ms'})};
}

function recordCompletion(options: {
  outcome: Outcome;
  request: SimRequest;
  startMs: number;
  endMs: number;
}): void {
  const {outcome, request, startMs, endMs} = options;
  const {account, atMs} = request;
  if (account > 0) outcome.modestWaits.add(startMs - atMs);
  if (endMs - atMs <= DEADLINE_MS) outcome.inTime[account]!++;
}

/** Share of the requests of the modest accounts that met their deadline. */
function modestShare({sent, inTime}: Outcome): number {
  const sum = (counts: number[]): number =>
    counts.slice(1).reduce((a, b) => a + b, 0);
  return sum(inTime) / sum(sent);
}

function greedyShare({inTime}: Outcome): number {
  return inTime[0]! / ((SHARE * FOR_MS) / 1_000);
}

function accountOf(index: number): ClientAccountConfig {
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

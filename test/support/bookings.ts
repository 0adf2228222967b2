/** Sends bookings, reads the ledger's execution counts and sets faults. */
import {setTimeout as sleep} from 'node:timers/promises';

import {Codec, number, optional, string} from 'purify-ts';

import {sendControl} from '../../tools/lab/lab.js';
import type {Site} from '../../tools/lab/site.js';
import {send} from './callers.js';

/** Result of one booking as its caller sees it. */
export interface BookingResult {
  /** `yes`, `no` or `unknown`; `none` if the connection broke. */
  readonly ran: string;
  /** Reason of a refusal; empty if the booking was not refused. */
  readonly reason: string;
  /** Value of the `retry-after` header; empty if absent. */
  readonly retryAfter: string;
  /** Body of the response. */
  readonly text: string;
  readonly elapsedMs: number;
}

const CLAIM_WRITES: ReadonlySet<string> = new Set(['create', 'update']);

const POLL_INTERVAL_MS = 5;
const MAX_POLLS = 1_000;

const PROBLEM = Codec.interface({
  ran: string,
  reason: string,
  status: optional(number),
});

/** Sends one booking to an entry. */
export async function book(options: {
  url: string;
  key: string;
  deadlineMs?: number;
  firstUse?: boolean;
  pallets?: number;
}): Promise<BookingResult> {
  const {url, key, deadlineMs = 8_000, firstUse, pallets = 3} = options;
  const startedMs = performance.now();
  const elapsed = (): number => performance.now() - startedMs;
  try {
    const {status, headers, text} = await send({
      url: `${url}/services/orders/bookings`,
      headers: {
        'idempotency-key': key,
        'x-deadline-ms': String(deadlineMs),
        ...(firstUse === true ? {'idempotency-first-use': 'true'} : {}),
      },
      body: JSON.stringify({pallets}),
    });
    const retryAfter = String(headers['retry-after'] ?? '');
    if (status < 300) {
      return {ran: 'yes', reason: '', retryAfter, text, elapsedMs: elapsed()};
    }
    const problem = PROBLEM.decode(JSON.parse(text)).unsafeCoerce();
    const {reason, ran} = problem;
    return {ran, reason, retryAfter, text, elapsedMs: elapsed()};
  } catch {
    return {
      ran: 'none',
      reason: '',
      retryAfter: '',
      text: '',
      elapsedMs: elapsed(),
    };
  }
}

/** Executions for one key, from the ledger, which outlives the services. */
export async function countExecutions(
  site: Site,
  key: string,
): Promise<number> {
  return (await readExecutionCounts(site)).get(key) ?? 0;
}

/** Executions by key, from the ledger, which outlives the services. */
export async function readExecutionCounts(
  site: Site,
): Promise<Map<string, number>> {
  const {perKey} = (await sendControl({url: `${site.ledger.url}/counts`})) as {
    perKey: Array<{key: string; count: number}>;
  };
  return new Map(perKey.map((row) => [row.key, row.count]));
}

/** Waits until an order service executes a booking. */
export async function waitForExecution(site: Site): Promise<void> {
  await pollUntil(async () => {
    const reports = await Promise.all(
      site.orders.map(({standIn}) =>
        sendControl({url: `${standIn.url}/health`}),
      ),
    );
    return reports.some((report) => (report as {running: number}).running > 0);
  });
}

/** Waits until an entry has sent a claim to the store since `before`. */
export async function waitForClaim(site: Site, before: number): Promise<void> {
  await pollUntil(async () => (await countClaimWrites(site)) > before);
}

/** Number of writes of claims that have arrived at the store. */
export async function countClaimWrites(site: Site): Promise<number> {
  const url = `${site.platform.url}/counts`;
  const {calls} = (await sendControl({url})) as {
    calls: Array<{kind: string; verb: string; count: number}>;
  };
  return calls
    .filter(({kind, verb}) => kind === 'claim' && CLAIM_WRITES.has(verb))
    .reduce((sum, {count}) => sum + count, 0);
}

async function pollUntil(condition: () => Promise<boolean>): Promise<void> {
  for (let i = 0; i < MAX_POLLS; i++) {
    if (await condition()) return;
    await sleep(POLL_INTERVAL_MS);
  }
  throw new Error(`condition not met after ${MAX_POLLS} polls`);
}

/** Sets a fault of the stand-in platform. */
export async function setStoreFault(
  site: Site,
  body: {mode: string; count?: number; delayMs?: number},
): Promise<void> {
  await sendControl({url: `${site.platform.url}/faults`, method: 'POST', body});
}

/** Sets a fault of every order service. */
export async function setServiceFault(
  site: Site,
  body: {kind: string; factor?: number},
): Promise<void> {
  for (const {standIn} of site.orders) {
    await sendControl({url: `${standIn.url}/faults`, method: 'POST', body});
  }
}

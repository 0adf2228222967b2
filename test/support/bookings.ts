/** Bookings of callers, and what the service's own ledger counted. */
import {Codec, number, optional, string} from 'purify-ts';

import {sendControl} from '../../tools/lab/lab.js';
import type {Site} from '../../tools/lab/site.js';
import {send} from './callers.js';

/** What a caller was told of one request. */
export interface BookingResult {
  /** `yes`, `no`, `unknown`, or `none` where the connection broke. */
  readonly ran: string;
  readonly reason: string;
  readonly retryAfter: string;
  readonly text: string;
  readonly tookMs: number;
}

const PROBLEM = Codec.interface({
  ran: string,
  reason: string,
  status: optional(number),
});

/** Books once at one entry. */
export async function book(options: {
  url: string;
  key: string;
  deadlineMs?: number;
  firstUse?: boolean;
  pallets?: number;
}): Promise<BookingResult> {
  const {url, key, deadlineMs = 8_000, firstUse, pallets = 3} = options;
  const startedMs = performance.now();
  const took = (): number => performance.now() - startedMs;
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
      return {ran: 'yes', reason: '', retryAfter, text, tookMs: took()};
    }
    const problem = PROBLEM.decode(JSON.parse(text)).unsafeCoerce();
    const {reason, ran} = problem;
    return {ran, reason, retryAfter, text, tookMs: took()};
  } catch {
    return {ran: 'none', reason: '', retryAfter: '', text: '', tookMs: took()};
  }
}

/** How often a key ran, by the ledger that outlives the services. */
export async function countExecutions(
  site: Site,
  key: string,
): Promise<number> {
  return (await readExecutionCounts(site)).get(key) ?? 0;
}

/** Runs by key, by the ledger that outlives the services. */
export async function readExecutionCounts(
  site: Site,
): Promise<Map<string, number>> {
  const {perKey} = (await sendControl({url: `${site.ledger.url}/counts`})) as {
    perKey: Array<{key: string; count: number}>;
  };
  return new Map(perKey.map((row) => [row.key, row.count]));
}

/** Orders a fault of the platform. */
export async function setStoreFault(
  site: Site,
  body: {mode: string; count?: number; delayMs?: number},
): Promise<void> {
  await sendControl({url: `${site.platform.url}/faults`, method: 'POST', body});
}

/** Orders a fault of every order service. */
export async function setServiceFault(
  site: Site,
  body: {kind: string; factor?: number},
): Promise<void> {
  for (const {standIn} of site.orders) {
    await sendControl({url: `${standIn.url}/faults`, method: 'POST', body});
  }
}

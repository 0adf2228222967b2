/** Sends bookings at a fixed rate, directly to services or through entries. */
import {setTimeout as sleep} from 'node:timers/promises';

import type {Site} from '../../../tools/lab/site.js';
import type {BookingResult} from '../../../test/support/bookings.js';
import {book} from '../../../test/support/bookings.js';
import {Samples} from '../../lib/samples.js';

const MS_PER_SECOND = 1_000;

/** Latencies and results of a load. */
export interface LoadResult {
  readonly samples: Samples;
  readonly results: readonly BookingResult[];
}

/** Starts `rate` bookings per second through entries (open loop). */
export async function runLoad(options: {
  name: string;
  site: Site;
  rate: number;
  durationMs: number;
  keyPrefix: string;
  deadlineMs?: number;
}): Promise<LoadResult> {
  const {name, site, rate, durationMs, keyPrefix, deadlineMs} = options;
  const urls = site.entries.map((entry) => entry.callersUrl);
  const pending = await startAtRate(rate, durationMs, (i) =>
    book({url: urls[i % urls.length]!, key: `${keyPrefix}-${i}`, deadlineMs}),
  );
  const results = await Promise.all(pending);
  const samples = new Samples({name, unit: 'ms'});
  for (const {ran, elapsedMs} of results)
    if (ran === 'yes') samples.add(elapsedMs);
  return {samples, results};
}

/** Starts `rate` bookings per second directly at the services (open loop). */
export async function runDirect(options: {
  name: string;
  site: Site;
  rate: number;
  durationMs: number;
}): Promise<Samples> {
  const {name, site, rate, durationMs} = options;
  const urls = site.orders.map(({standIn}) => standIn.url);
  const samples = new Samples({name, unit: 'ms'});
  const pending = await startAtRate(rate, durationMs, async (i) => {
    const startedMs = performance.now();
    const res = await fetch(`${urls[i % urls.length]}/bookings`, {
      method: 'POST',
      headers: {'idempotency-key': `direct-${rate}-${i}`},
      body: '{"pallets":3}',
    });
    await res.text();
    samples.add(performance.now() - startedMs);
  });
  await Promise.all(pending);
  return samples;
}

async function startAtRate<T>(
  rate: number,
  durationMs: number,
  start: (index: number) => Promise<T>,
): Promise<Array<Promise<T>>> {
  const pending: Array<Promise<T>> = [];
  const startMs = performance.now();
  const count = Math.max(1, Math.round((rate * durationMs) / MS_PER_SECOND));
  for (let i = 0; i < count; i++) {
    const dueMs = startMs + (i * MS_PER_SECOND) / rate;
    const waitMs = dueMs - performance.now();
    if (waitMs > 0) await sleep(waitMs);
    pending.push(start(i));
  }
  return pending;
}

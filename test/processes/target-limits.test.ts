/** With agents: targets that name a limit on the requests of all entries. */
import {setTimeout as sleep} from 'node:timers/promises';

import {request} from 'undici';
import {describe, expect, it} from 'vitest';

import type {StandIn} from '../../tools/lab/lab.js';
import type {Daemon} from '../../tools/lab/lab.js';
import {Site} from '../../tools/lab/site.js';
import type {HttpResponse} from '../support/callers.js';
import {send} from '../support/callers.js';
import {
  allowedInWindow,
  LIMIT_GRACE_MS,
  mostOf,
} from '../support/limited-site.js';

const LIMIT = 3;
const FLAGS = {'limit-per-second': LIMIT};

const PER_SECOND = 24;
const TRAFFIC_MS = 9_000;
const MS_PER_S = 1_000;

/** Time within which a request without a permit is refused, in milliseconds. */
const AT_ONCE_MS = 1_000;

const DEADLINE = {'x-deadline-ms': '8000'};

const TIMEOUT_MS = 60_000;

type Send = (entry: Daemon, i: number) => Promise<HttpResponse>;

const lookUp: Send = (entry, i) =>
  send({
    url: `${entry.callersUrl}/services/stock/stock/item-${i}`,
    method: 'GET',
    headers: DEADLINE,
  });

const book: Send = (entry, i) =>
  send({
    url: `${entry.callersUrl}/services/orders/bookings`,
    headers: {...DEADLINE, 'idempotency-key': `limits-${i}`},
    body: JSON.stringify({item: i}),
  });

const generate: Send = (entry, i) =>
  send({
    url: `${entry.callersUrl}/v1/completions`,
    headers: DEADLINE,
    body: JSON.stringify({
      model: 'quote-writer',
      prompt: `no ${i}`,
      max_tokens: 4,
    }),
  });

async function arrivalsAt(target: StandIn): Promise<number[]> {
  const res = await request(`${target.url}/arrivals`);
  const counts = (await res.body.json()) as {arrivedAtMs: number[]};
  return counts.arrivedAtMs;
}

describe('with agents, a target that names a limit', () => {
  it.each([
    {
      work: 'look-ups',
      sendOne: lookUp,
      sizes: {engines: 0, stock: 2, serviceFlags: FLAGS},
    },
    {
      work: 'bookings',
      sendOne: book,
      sizes: {engines: 0, orders: 2, serviceFlags: FLAGS},
    },
    {
      work: 'generations',
      sendOne: generate,
      sizes: {engines: 2, engineFlags: {...FLAGS, 'pace-ms': 2}},
    },
  ])(
    'gets no more $work than its limit from all entries, and the rest is refused',
    {timeout: TIMEOUT_MS},
    async ({sendOne, sizes}) => {
      const site = await Site.create({entries: 3, ...sizes});
      try {
        const startMs = Date.now();
        const sent: Array<Promise<{res: HttpResponse; tookMs: number}>> = [];
        for (let i = 0; i < (PER_SECOND * TRAFFIC_MS) / MS_PER_S; i++) {
          const dueMs = startMs + (i * MS_PER_S) / PER_SECOND;
          await sleep(Math.max(0, dueMs - Date.now()));
          const sentAtMs = Date.now();
          const entry = site.entries[i % site.entries.length]!;
          sent.push(
            sendOne(entry, i).then((res) => ({
              res,
              tookMs: Date.now() - sentAtMs,
            })),
          );
        }
        const endMs = Date.now();
        const responses = await Promise.all(sent);
        const targets = [...site.engines, ...site.orders, ...site.stock];
        const spanS = (endMs - startMs) / MS_PER_S;
        for (const {standIn} of targets) {
          const times = await arrivalsAt(standIn);
          const later = times.filter((ms) => ms > startMs + LIMIT_GRACE_MS);
          expect(mostOf(later)).toBeLessThanOrEqual(allowedInWindow(LIMIT));
          expect(times.length).toBeGreaterThan(0.7 * LIMIT * spanS);
        }
        for (const {res, tookMs} of responses) {
          if (res.status === 200 || res.status === 201) continue;
          expect({status: res.status, text: res.text}).toMatchObject({
            status: 503,
            text: expect.stringContaining('target_limit') as string,
          });
          expect(tookMs).toBeLessThan(AT_ONCE_MS);
          expect(Number(res.headers['retry-after'])).toBeGreaterThan(0);
        }
      } finally {
        await site.close();
      }
    },
  );
});

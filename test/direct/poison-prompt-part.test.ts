/** Requests that differ but share a prompt part that crashes targets. */
import {Agent} from 'node:http';

import {afterEach, describe, expect, it} from 'vitest';

import {SitePath} from '../../stand-ins/site/config.js';
import type {DirectSite} from '../support/direct-site.js';
import {
  CRASH_MARK,
  crashingRequests,
  ENTRIES,
  EVENTS,
  restartCrashedTargets,
  sleep,
  startPoisonSite,
} from '../support/poison-scenario.js';

/** Crashes on one part after which such requests must no longer be sent. */
const MAX_CRASHES = 5;

/** Time after the last of these from which the bound holds, in ms. */
const CONTACT_MS = 3_000;

/** Requests with the part that may still reach targets after that. */
const MAX_LATE_REQUESTS = 3;

const DURATION_MS = 5_500;
const POISON_INTERVAL_MS = 120;
const SOUND_INTERVAL_MS = 60;
const TIMEOUT_MS = 20_000;

const LAST_EVENT = `id: ${EVENTS}\n`;

/** Parts that all prompts share, as a Prefix-Hash header. */
const shared = (count: number) =>
  Array.from({length: count}, (_, i) => `5a${i.toString(16)}f:2`).join(',');

/** Parts of one talk, which no other talk has. */
const talk = (i: number, count: number) =>
  Array.from({length: count}, (_, k) => `7${i}d${k}:2`).join(',');

/** Prompts as Prefix-Hash headers; the last part is the request's own. */
const PROMPTS = [
  {
    culprit: 'a part in the middle',
    poison: (i: number) => `c0:200,bad:900,a${i}:40`,
    sound: (i: number) => `c0:200,good:900,b${i}:40`,
  },
  {
    culprit: 'the first part',
    poison: (i: number) => `bad:200,c${i % 4}:900,a${i}:40`,
    sound: (i: number) => `good:200,c${i % 4}:900,b${i}:40`,
  },
  // Guards against parts that were no suspects from the 17th on (review/12).
  {
    culprit: 'the part after 17 others',
    poison: (i: number) => `${shared(17)},bad:9,a${i}:40`,
    sound: (i: number) => `${shared(17)},b${i}:40`,
  },
  {
    culprit: 'the part after 40 others',
    poison: (i: number) => `${shared(40)},bad:9,a${i}:40`,
    sound: (i: number) => `${shared(40)},b${i}:40`,
  },
  {
    culprit: 'the part after 1,000 others',
    poison: (i: number) => `${shared(1_000)},bad:9,a${i}:40`,
    sound: (i: number) => `${shared(1_000)},b${i}:40`,
  },
  {
    culprit: 'the part before 1,000 others',
    poison: (i: number) => `bad:9,${shared(1_000)},a${i}:40`,
    sound: (i: number) => `${shared(1_000)},b${i}:40`,
  },
  {
    culprit: 'a part among 500 of the same talk',
    poison: (i: number) =>
      `${shared(20)},${talk(i, 250)},bad:9,${talk(i, 500)},a${i}:40`,
    sound: (i: number) => `${shared(20)},${talk(i, 500)},b${i}:40`,
  },
  {
    culprit: 'two parts, of one of them each',
    poison: (i: number) =>
      `${shared(100)},${i % 2 === 0 ? 'bad' : 'worse'}:9,a${i}:40`,
    sound: (i: number) => `${shared(100)},b${i}:40`,
    culprits: 2,
  },
];

/** What happened to a sound request. */
interface SoundResult {
  readonly sentMs: number;
  readonly isServed: boolean;
}

describe('a prompt part that crashes targets', () => {
  let site: DirectSite;

  afterEach(() => site.stop());

  const send = (options: {i: number; body: string; prompt: string}) =>
    site.call({
      path: SitePath.STREAM,
      body: options.body,
      entry: options.i % ENTRIES,
      agent: new Agent(),
      headers: {'Prefix-Hash': options.prompt},
    });

  async function sendSound(i: number, prompt: string): Promise<SoundResult> {
    const sentMs = performance.now();
    const {status, text} = await send({i, body: `sound ${i}`, prompt});
    return {sentMs, isServed: status === 200 && text.includes(LAST_EVENT)};
  }

  /** Starts requests at an interval until the end of the scenario. */
  async function sendAtInterval<T>(
    intervalMs: number,
    start: (i: number) => Promise<T>,
  ): Promise<T[]> {
    const sent: Array<Promise<T>> = [];
    for (let i = 0; i * intervalMs < DURATION_MS; i++) {
      sent.push(start(i));
      await sleep(intervalMs);
    }
    return Promise.all(sent);
  }

  it.each(PROMPTS)(
    'is not sent on in ever new requests: $culprit',
    {timeout: TIMEOUT_MS},
    async ({poison, sound, culprits = 1}) => {
      site = await startPoisonSite(SitePath.STREAM);
      restartCrashedTargets(site);
      const [results] = await Promise.all([
        sendAtInterval(SOUND_INTERVAL_MS, (i) => sendSound(i, sound(i))),
        sendAtInterval(POISON_INTERVAL_MS, (i) =>
          send({i, body: `${CRASH_MARK} ${i}`, prompt: poison(i)}),
        ),
      ]);
      const lastMs = Math.max(
        ...Array.from({length: culprits}, (_, k) =>
          expectFewLate(site, (body) => numberOf(body) % culprits === k),
        ),
      );
      const later = results.filter(({sentMs}) => sentMs > lastMs + CONTACT_MS);
      expect(later.length).toBeGreaterThan(0);
      expect(later.filter(({isServed}) => !isServed)).toEqual([]);
    },
  );
});

/** Number of a request with a crashing part, by its body. */
function numberOf(body: string): number {
  return Number(body.slice(CRASH_MARK.length));
}

/**
 * Expects few late requests with one crashing part. Returns the time of its
 * fifth crash, or of the last one if there are fewer, on the monotonic clock.
 */
function expectFewLate(
  site: DirectSite,
  hasPart: (body: string) => boolean,
): number {
  const requests = crashingRequests(site);
  const crashes = requests.crashes.filter(({body}) => hasPart(body));
  const arrivals = requests.arrivals.filter(({body}) => hasPart(body));
  const {atMs: lastMs} = (crashes[MAX_CRASHES - 1] ?? crashes.at(-1))!;
  const late = arrivals.filter(({atMs}) => atMs > lastMs + CONTACT_MS);
  expect(late.length).toBeLessThanOrEqual(MAX_LATE_REQUESTS);
  return lastMs;
}

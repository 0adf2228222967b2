/** A poison request, which crashes each engine that runs it. */
import {afterAll, beforeAll, describe, expect, it} from 'vitest';

import type {Transcript} from '../../tools/lab/caller.js';
import {
  createTranscript,
  readStream,
  readWithResume,
} from '../../tools/lab/caller.js';
import {waitUntil} from '../../tools/lab/lab.js';
import {Site} from '../../tools/lab/site.js';
import {expectedTextOf} from '../support/fault-site.js';

const CRASH_MARKER = 'CRASH-ME';
const UNRELATED_COUNT = 8;
const MAX_TOKENS = 80;

/** Runs alongside unrelated requests before it crashes its engine. */
const POISON_REQUEST = {
  prompt: `${CRASH_MARKER} [crash-after=20] [length=${MAX_TOKENS}]`,
  maxTokens: MAX_TOKENS,
};

describe('a request that crashes its engines', () => {
  let site: Site;

  beforeAll(async () => {
    site = await Site.create({
      entries: 3,
      engines: 6,
      engineFlags: {'pace-ms': 15, 'crash-on': CRASH_MARKER},
    });
  });

  afterAll(() => site?.close());

  it('is quarantined within two crashes, and unrelated requests finish', async () => {
    const urls = site.entries.map((entry) => entry.callersUrl);
    const reqs = Array.from({length: UNRELATED_COUNT}, (_, i) => ({
      prompt: `unrelated ${i} [length=${MAX_TOKENS}]`,
      maxTokens: MAX_TOKENS,
    }));
    const reading = reqs.map((req, i) =>
      readWithResume({urls: [urls[i % urls.length]!], req}),
    );
    const poisoned = await readWithResume({
      urls: [urls[0]!],
      req: POISON_REQUEST,
    });
    const unrelated = await Promise.all(reading);

    expect(poisoned.errors).toMatchObject([{reason: 'poison', ran: 'yes'}]);
    expect(poisoned.doneEvents).toBe(0);
    unrelated.forEach((transcript, i) => {
      expect(transcript.errors).toEqual([]);
      expect(transcript.text).toBe(expectedTextOf(reqs[i]!));
      expect(transcript.doneEvents).toBe(1);
    });
    expect(countStoppedEngines(site)).toBe(2);

    for (const url of urls) await expectRefused(url);
    expect(countStoppedEngines(site)).toBe(2);
  });
});

function countStoppedEngines(site: Site): number {
  return site.engines.filter(({standIn}) => !standIn.proc.isRunning).length;
}

/** Checks that retries are refused once an entry has read the quarantine. */
async function expectRefused(url: string): Promise<void> {
  let last: Transcript | undefined;
  await waitUntil({
    what: 'a retry is refused',
    check: async () => {
      last = createTranscript();
      await readStream({url, req: POISON_REQUEST, transcript: last});
      return last.errors.length > 0;
    },
  });
  expect(last?.errors).toMatchObject([{reason: 'poison', ran: 'no'}]);
}

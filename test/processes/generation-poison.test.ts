/** A request crashes each engine that runs it. */
import {afterAll, beforeAll, describe, expect, it} from 'vitest';

import type {Transcript} from '../../tools/lab/caller.js';
import {
  createTranscript,
  readStream,
  readWithResume,
} from '../../tools/lab/caller.js';
import {waitUntil} from '../../tools/lab/lab.js';
import {Site} from '../../tools/lab/site.js';
import {expectedText} from '../support/fault-site.js';

const MARK = 'CRASH-ME';
const INNOCENTS = 8;
const MAX_TOKENS = 80;

/** The culprit runs beside innocents before it crashes its engine. */
const POISON = {
  prompt: `${MARK} [crash-after=20] [length=${MAX_TOKENS}]`,
  maxTokens: MAX_TOKENS,
};

describe('a request that crashes its engines', () => {
  let site: Site;

  beforeAll(async () => {
    site = await Site.create({
      entries: 3,
      engines: 6,
      engineFlags: {'pace-ms': 15, 'crash-on': MARK},
    });
  });

  afterAll(() => site?.close());

  it('is named within two crashes, and the others finish', async () => {
    const urls = site.entries.map((entry) => entry.callersUrl);
    const asks = Array.from({length: INNOCENTS}, (_, i) => ({
      prompt: `innocent ${i} [length=${MAX_TOKENS}]`,
      maxTokens: MAX_TOKENS,
    }));
    const reading = asks.map((ask, i) =>
      readWithResume({urls: [urls[i % urls.length]!], req: ask}),
    );
    const poisoned = await readWithResume({urls: [urls[0]!], req: POISON});
    const innocents = await Promise.all(reading);

    expect(poisoned.errors).toMatchObject([{reason: 'poison', ran: 'yes'}]);
    expect(poisoned.doneEvents).toBe(0);
    innocents.forEach((transcript, i) => {
      expect(transcript.errors).toEqual([]);
      expect(transcript.text).toBe(expectedText(asks[i]!));
      expect(transcript.doneEvents).toBe(1);
    });
    expect(countDead(site)).toBe(2);

    for (const url of urls) await expectRefused(url);
    expect(countDead(site)).toBe(2);
  });
});

function countDead(site: Site): number {
  return site.engines.filter(({standIn}) => !standIn.proc.isRunning).length;
}

/** Other entries learn of it over the store; then each re-send is refused. */
async function expectRefused(url: string): Promise<void> {
  let last: Transcript | undefined;
  await waitUntil({
    what: 'a re-send is refused',
    check: async () => {
      last = createTranscript();
      await readStream({url, req: POISON, transcript: last});
      return last.errors.length > 0;
    },
  });
  expect(last?.errors).toMatchObject([{reason: 'poison', ran: 'no'}]);
}

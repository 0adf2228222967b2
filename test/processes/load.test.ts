/** Policy under load, with real processes: losses, lies, greed and haste. */
import {createHash} from 'node:crypto';
import {setMaxListeners} from 'node:events';

import {afterEach, describe, expect, it} from 'vitest';

import {Executed, RefusalReason} from '../../src/core/errors/index.js';
import type {CompletionRequest, Transcript} from '../../tools/lab/caller.js';
import {
  createTranscript,
  readStream,
  readWithResume,
} from '../../tools/lab/caller.js';
import {sendControl, waitUntil} from '../../tools/lab/lab.js';
import type {SiteOptions, Target} from '../../tools/lab/site.js';
import {Site} from '../../tools/lab/site.js';
import {expectedText} from '../support/callers.js';

const OTHER_KEY = 'other-key';
const TIMEOUT_MS = 60_000;

interface Problem {
  readonly reason: RefusalReason;
  readonly ran: Executed;
  readonly retryAfterMs?: number;
}

interface EngineCounts {
  readonly started: number;
}

let site: Site | undefined;

afterEach(() => site?.close());

async function openSite(options: SiteOptions): Promise<Site> {
  site = await Site.create({entries: 1, ...options});
  return site;
}

/** Lets two client accounts send, and bounds the queue of an entry. */
function editBase(options: {maxConcurrent: number; queueLength: number}) {
  const {maxConcurrent, queueLength} = options;
  const keySha256 = createHash('sha256').update(OTHER_KEY).digest('hex');
  return (base: Record<string, unknown>): void => {
    const accounts = base['clientAccounts'] as Record<string, object>;
    accounts['demo'] = {...accounts['demo'], maxConcurrent};
    accounts['other'] = {keySha256, maxConcurrent};
    base['limits'] = {queueLength};
  };
}

function askOf(
  topic: string,
  tokens: number,
  deadlineMs = TIMEOUT_MS,
): CompletionRequest {
  const prompt = `${topic} [length=${tokens}]`;
  return {prompt, maxTokens: tokens, deadlineMs};
}

function isWhole(transcript: Transcript, ask: CompletionRequest): boolean {
  const {doneEvents: ends, errors, text} = transcript;
  const right = text === expectedText(ask.prompt, ask.maxTokens);
  return ends === 1 && errors.length === 0 && right;
}

async function startedAt(target: Target): Promise<number> {
  const url = `${target.standIn.url}/counts`;
  return ((await sendControl({url})) as EngineCounts).started;
}

describe('policy under load', () => {
  it('brings every admitted answer whole when a third of the engines is lost', async () => {
    const {engines, entries} = await openSite({
      engines: 3,
      engineFlags: {'pace-ms': 20, capacity: 8},
    });
    const urls = entries.map((entry) => entry.callersUrl);
    const asks = Array.from({length: 40}, (_, i) => askOf(`loss ${i}`, 100));
    const begun = new Set<string>();
    const reading = asks.map((ask) =>
      readWithResume({urls, req: ask, onChunk: () => begun.add(ask.prompt)}),
    );
    // Two slots are kept for resumes; all others are busy.
    const check = (): Promise<boolean> => Promise.resolve(begun.size >= 22);
    await waitUntil({what: 'the engines are full', check});
    engines[0]!.standIn.proc.kill();
    engines[0]!.agent.proc.kill();
    const transcripts = await Promise.all(reading);
    const notWhole = asks.filter((ask, i) => !isWhole(transcripts[i]!, ask));
    expect(notWhole).toEqual([]);
  });

  it.each([
    {name: 'reports that lag by seconds', lagMs: 3_000},
    {name: 'reports that always say idle', lagMs: 600_000},
  ])('lets nothing wait beside a free slot under $name', async ({lagMs}) => {
    const {engines, entries} = await openSite({
      engines: 3,
      engineFlags: {'pace-ms': 20, capacity: 8, 'report-lag-ms': lagMs},
    });
    const urls = entries.map((entry) => entry.callersUrl);
    // The second wave meets reports that still tell of none or of the first.
    for (const wave of [1, 2]) {
      const begun = new Set<string>();
      const asks = Array.from({length: 22}, (_, i) =>
        askOf(`wave ${wave} ${i}`, 150),
      );
      const reading = asks.map((ask) =>
        readWithResume({urls, req: ask, onChunk: () => begun.add(ask.prompt)}),
      );
      const check = (): Promise<boolean> => Promise.resolve(begun.size === 22);
      await waitUntil({what: 'all have begun at once', check});
      const started = await Promise.all(engines.map(startedAt));
      expect(Math.max(...started)).toBeLessThanOrEqual(8 * wave);
      const transcripts = await Promise.all(reading);
      expect(asks.every((ask, i) => isWhole(transcripts[i]!, ask))).toBe(true);
    }
  });

  it('answers a modest account while another sends far beyond its share', async () => {
    const {entries} = await openSite({
      engines: 2,
      engineFlags: {'pace-ms': 10, capacity: 4},
      editBase: editBase({maxConcurrent: 500, queueLength: 1_000}),
    });
    const url = entries[0]!.callersUrl;
    const stop = new AbortController();
    const {signal} = stop;
    setMaxListeners(500, signal);
    // At 16 answers a second these take 25 s, first come, first served.
    const greedy = Array.from({length: 400}, (_, i) => {
      const ask = askOf(`greedy ${i}`, 50);
      const transcript = createTranscript();
      return readStream({url, req: ask, transcript, signal}).catch(
        () => undefined,
      );
    });
    await new Promise((resolve) => setTimeout(resolve, 1_000));
    for (let i = 0; i < 6; i++) {
      const ask = {...askOf(`modest ${i}`, 50, 8_000), key: OTHER_KEY};
      const transcript = createTranscript();
      await readStream({url, req: ask, transcript});
      expect(transcript.errors).toEqual([]);
      expect(isWhole(transcript, ask)).toBe(true);
    }
    stop.abort();
    await Promise.all(greedy);
  });

  it('tells callers that retry at once the truth, and serves some of them', async () => {
    const {engines, entries} = await openSite({
      engines: 1,
      engineFlags: {'pace-ms': 10, capacity: 4},
      editBase: editBase({maxConcurrent: 500, queueLength: 4}),
    });
    const url = entries[0]!.callersUrl;
    const transcripts: Transcript[] = [];
    const sendOnAndOn = async (caller: number): Promise<void> => {
      for (let i = 0; i < 30; i++) {
        const ask = askOf(`haste ${caller} ${i}`, 20, 2_000);
        const transcript = createTranscript();
        await readStream({url, req: ask, transcript}).catch(() => undefined);
        transcripts.push(transcript);
      }
    };
    const callers = Array.from({length: 16}, (_, i) => sendOnAndOn(i));
    await Promise.all(callers);
    const refused = transcripts.filter(({status}) => status !== 200);
    const admitted = transcripts.length - refused.length;
    expect(refused.length).toBeGreaterThan(0);
    expect(admitted).toBeGreaterThan(0);
    for (const {errors} of refused) {
      const {ran, reason, retryAfterMs} = errors[0] as Problem;
      expect(ran).toBe(Executed.NO);
      expect([
        RefusalReason.OVERLOADED,
        RefusalReason.DEADLINE_UNREACHABLE,
      ]).toContain(reason);
      expect(retryAfterMs).toBeGreaterThan(0);
    }
    // What was refused as not run did not run.
    expect(await startedAt(engines[0]!)).toBeLessThanOrEqual(admitted);
  });
});

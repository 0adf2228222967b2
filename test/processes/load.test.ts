/** Lost engines, outdated load reports, unequal accounts and hasty retries. */
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

async function createSite(options: SiteOptions): Promise<Site> {
  site = await Site.create({entries: 1, ...options});
  return site;
}

/** Configures two client accounts and the queue length of an entry. */
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

function createRequest(
  topic: string,
  tokens: number,
  deadlineMs = TIMEOUT_MS,
): CompletionRequest {
  const prompt = `${topic} [length=${tokens}]`;
  return {prompt, maxTokens: tokens, deadlineMs};
}

function isComplete(transcript: Transcript, req: CompletionRequest): boolean {
  const {doneEvents, errors, text} = transcript;
  const isCorrect = text === expectedText(req.prompt, req.maxTokens);
  return doneEvents === 1 && errors.length === 0 && isCorrect;
}

async function countStarted(target: Target): Promise<number> {
  const url = `${target.standIn.url}/counts`;
  return ((await sendControl({url})) as EngineCounts).started;
}

describe('an entry under load', () => {
  it('completes every admitted generation when a third of the engines is lost', async () => {
    const {engines, entries} = await createSite({
      engines: 3,
      engineFlags: {'pace-ms': 20, capacity: 8},
    });
    const urls = entries.map((entry) => entry.callersUrl);
    const reqs = Array.from({length: 40}, (_, i) =>
      createRequest(`loss ${i}`, 100),
    );
    const started = new Set<string>();
    const reading = reqs.map((req) =>
      readWithResume({urls, req, onChunk: () => started.add(req.prompt)}),
    );
    // Two of the 24 slots are reserved for resumes; all others are busy.
    const check = (): Promise<boolean> => Promise.resolve(started.size >= 22);
    await waitUntil({what: 'the engines are full', check});
    engines[0]!.standIn.proc.kill();
    engines[0]!.agent.proc.kill();
    const transcripts = await Promise.all(reading);
    const incomplete = reqs.filter(
      (req, i) => !isComplete(transcripts[i]!, req),
    );
    expect(incomplete).toEqual([]);
  });

  it.each([
    {name: 'reports that are seconds old', lagMs: 3_000},
    {name: 'reports that always show idle engines', lagMs: 600_000},
  ])('uses every free slot despite $name', async ({lagMs}) => {
    const {engines, entries} = await createSite({
      engines: 3,
      engineFlags: {'pace-ms': 20, capacity: 8, 'report-lag-ms': lagMs},
    });
    const urls = entries.map((entry) => entry.callersUrl);
    // During the second wave reports still show no load or that of the first.
    for (const wave of [1, 2]) {
      const started = new Set<string>();
      const reqs = Array.from({length: 22}, (_, i) =>
        createRequest(`wave ${wave} ${i}`, 150),
      );
      const reading = reqs.map((req) =>
        readWithResume({urls, req, onChunk: () => started.add(req.prompt)}),
      );
      const check = (): Promise<boolean> =>
        Promise.resolve(started.size === 22);
      await waitUntil({what: 'all generations have started', check});
      const startedCounts = await Promise.all(engines.map(countStarted));
      expect(Math.max(...startedCounts)).toBeLessThanOrEqual(8 * wave);
      const transcripts = await Promise.all(reading);
      expect(reqs.every((req, i) => isComplete(transcripts[i]!, req))).toBe(
        true,
      );
    }
  });

  it('serves a low-volume account while another far exceeds its share', async () => {
    const {entries} = await createSite({
      engines: 2,
      engineFlags: {'pace-ms': 10, capacity: 4},
      editBase: editBase({maxConcurrent: 500, queueLength: 1_000}),
    });
    const url = entries[0]!.callersUrl;
    const stop = new AbortController();
    const {signal} = stop;
    setMaxListeners(500, signal);
    // At 16 generations a second these take 25 s in FIFO order.
    const flood = Array.from({length: 400}, (_, i) => {
      const req = createRequest(`greedy ${i}`, 50);
      const transcript = createTranscript();
      return readStream({url, req, transcript, signal}).catch(() => undefined);
    });
    await new Promise((resolve) => setTimeout(resolve, 1_000));
    for (let i = 0; i < 6; i++) {
      const req = {...createRequest(`modest ${i}`, 50, 8_000), key: OTHER_KEY};
      const transcript = createTranscript();
      await readStream({url, req, transcript});
      expect(transcript.errors).toEqual([]);
      expect(isComplete(transcript, req)).toBe(true);
    }
    stop.abort();
    await Promise.all(flood);
  });

  it('refuses immediate retries as not run, and serves some of them', async () => {
    const {engines, entries} = await createSite({
      engines: 1,
      engineFlags: {'pace-ms': 10, capacity: 4},
      editBase: editBase({maxConcurrent: 500, queueLength: 4}),
    });
    const url = entries[0]!.callersUrl;
    const transcripts: Transcript[] = [];
    const sendRepeatedly = async (caller: number): Promise<void> => {
      for (let i = 0; i < 30; i++) {
        const req = createRequest(`haste ${caller} ${i}`, 20, 2_000);
        const transcript = createTranscript();
        await readStream({url, req, transcript}).catch(() => undefined);
        transcripts.push(transcript);
      }
    };
    const callers = Array.from({length: 16}, (_, i) => sendRepeatedly(i));
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
    expect(await countStarted(engines[0]!)).toBeLessThanOrEqual(admitted);
  });
});

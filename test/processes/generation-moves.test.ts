/** Planned moves, attempts that nobody follows, and engines that are slow. */
import {afterAll, beforeAll, describe, expect, it} from 'vitest';

import {createTranscript, readStream} from '../../tools/lab/caller.js';
import {sendControl, waitUntil} from '../../tools/lab/lab.js';
import type {Target} from '../../tools/lab/site.js';
import {createAsk, expectedText, FaultSite} from '../support/fault-site.js';

const LONG = {prompt: 'a long one [length=4000]', maxTokens: 4_000};

describe('a generation', () => {
  let faultSite: FaultSite;

  beforeAll(async () => {
    faultSite = await FaultSite.create({entries: 2});
  });

  afterAll(() => faultSite?.close());

  it('is cancelled at an agent that was frozen meanwhile', async () => {
    let victim: Promise<Target> | undefined;
    const transcript = createTranscript();
    const abort = new AbortController();
    const reading = readStream({
      url: faultSite.site.entries[0]!.callersUrl,
      req: LONG,
      transcript,
      signal: abort.signal,
      onChunk: (t) => {
        if (t.chunks < 10) return;
        victim ??= faultSite.targetOf(t).then((target) => {
          target.agent.proc.pause();
          return target;
        });
      },
    }).catch(() => undefined);
    await waitUntil({
      what: 'the answer goes on elsewhere',
      check: async () => {
        const vm = transcript.lastEventId.split(':')[2];
        expect(transcript.errors).toEqual([]);
        return victim !== undefined && vm !== (await victim).vm;
      },
    });
    const target = (await victim)!;
    const before = (await readCounts(target)).cancelled;
    target.agent.proc.resume();
    await waitUntil({
      what: 'the old attempt is cancelled',
      timeoutMs: 5_000,
      check: async () => (await readCounts(target)).cancelled > before,
    });
    abort.abort();
    await reading;
  });

  it('is cancelled when its caller is gone for good', async () => {
    const {engines} = faultSite.site;
    const abort = new AbortController();
    await readStream({
      url: faultSite.site.entries[0]!.callersUrl,
      req: LONG,
      transcript: createTranscript(),
      signal: abort.signal,
      onChunk: (t) => {
        if (t.chunks === 10) abort.abort();
      },
    }).catch(() => undefined);
    await waitUntil({
      what: 'no engine works',
      timeoutMs: 30_000,
      check: async () => {
        const counts = await Promise.all(engines.map(readCounts));
        return counts.every((c) => c.started === c.finished + c.cancelled);
      },
    });
  });

  it('moves off a target that leaves, with nothing cut off', async () => {
    let victim: Promise<Target> | undefined;
    const ask = {prompt: 'moved [length=150]', maxTokens: 150};
    const transcript = await faultSite.read({
      ask,
      onPiece: (t) => {
        if (t.chunks < 20) return;
        victim ??= faultSite.targetOf(t).then((target) => {
          target.agent.proc.terminate();
          return target;
        });
      },
    });
    const target = (await victim)!;
    expect(transcript.text).toBe(expectedText(ask));
    expect(transcript.doneEvents).toBe(1);
    expect(transcript.restarts).toBe(0);
    expect(transcript.lastEventId.split(':')[2]).not.toBe(target.vm);
    expect(await target.agent.proc.exited).toBe(0);
  });

  // Last: what the entry learns of slow engines bounds what it admits.
  it('is not given up on an engine that is slow', async () => {
    const {engines} = faultSite.site;
    const before = await countStarted(engines);
    await setFault(engines, 'slow', 40);
    const ask = createAsk('slow');
    const transcript = await faultSite.read({ask: {...ask, maxTokens: 6}});
    await setFault(engines, 'none', 1);
    expect(transcript.text).toBe(expectedText({...ask, maxTokens: 6}));
    expect(transcript.doneEvents).toBe(1);
    expect((await countStarted(engines)) - before).toBe(1);
  });
});

interface Counts {
  readonly started: number;
  readonly finished: number;
  readonly cancelled: number;
}

async function readCounts(target: Target): Promise<Counts> {
  const url = `${target.standIn.url}/counts`;
  return (await sendControl({url})) as Counts;
}

async function countStarted(targets: readonly Target[]): Promise<number> {
  const counts = await Promise.all(targets.map(readCounts));
  return counts.reduce((sum, {started}) => sum + started, 0);
}

async function setFault(
  targets: readonly Target[],
  kind: string,
  factor: number,
): Promise<void> {
  for (const {standIn} of targets) {
    const url = `${standIn.url}/faults`;
    await sendControl({url, method: 'POST', body: {kind, factor}});
  }
}

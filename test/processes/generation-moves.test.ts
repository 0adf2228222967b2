/** Moves off draining targets, cancelled attempts and slow engines. */
import {afterAll, beforeAll, describe, expect, it} from 'vitest';

import {createTranscript, readStream} from '../../tools/lab/caller.js';
import {sendControl, waitUntil} from '../../tools/lab/lab.js';
import type {Target} from '../../tools/lab/site.js';
import {
  createRequest,
  expectedTextOf,
  FaultSite,
} from '../support/fault-site.js';

const LONG_REQUEST = {prompt: 'a long one [length=4000]', maxTokens: 4_000};

describe('a generation', () => {
  let faultSite: FaultSite;

  beforeAll(async () => {
    faultSite = await FaultSite.create({entries: 2});
  });

  afterAll(() => faultSite?.close());

  it('is cancelled at an agent that was paused while it moved away', async () => {
    let pausedTarget: Promise<Target> | undefined;
    const transcript = createTranscript();
    const abort = new AbortController();
    const reading = readStream({
      url: faultSite.site.entries[0]!.callersUrl,
      req: LONG_REQUEST,
      transcript,
      signal: abort.signal,
      onChunk: (t) => {
        if (t.chunks < 10) return;
        pausedTarget ??= faultSite.targetOf(t).then((target) => {
          target.agent.proc.pause();
          return target;
        });
      },
    }).catch(() => undefined);
    await waitUntil({
      what: 'the generation is resumed at another target',
      check: async () => {
        const vm = transcript.lastEventId.split(':')[2];
        expect(transcript.errors).toEqual([]);
        return pausedTarget !== undefined && vm !== (await pausedTarget).vm;
      },
    });
    const target = (await pausedTarget)!;
    const before = (await readCounts(target)).cancelled;
    target.agent.proc.resume();
    await waitUntil({
      what: 'the earlier attempt is cancelled',
      timeoutMs: 5_000,
      check: async () => (await readCounts(target)).cancelled > before,
    });
    abort.abort();
    await reading;
  });

  it('is cancelled when its caller does not reconnect', async () => {
    const {engines} = faultSite.site;
    const abort = new AbortController();
    await readStream({
      url: faultSite.site.entries[0]!.callersUrl,
      req: LONG_REQUEST,
      transcript: createTranscript(),
      signal: abort.signal,
      onChunk: (t) => {
        if (t.chunks === 10) abort.abort();
      },
    }).catch(() => undefined);
    await waitUntil({
      what: 'no engine is generating',
      timeoutMs: 30_000,
      check: async () => {
        const counts = await Promise.all(engines.map(readCounts));
        return counts.every((c) => c.started === c.finished + c.cancelled);
      },
    });
  });

  it('moves off a draining target and stays complete', async () => {
    let drainingTarget: Promise<Target> | undefined;
    const req = {prompt: 'moved [length=150]', maxTokens: 150};
    const transcript = await faultSite.readGeneration({
      req,
      onChunk: (t) => {
        if (t.chunks < 20) return;
        drainingTarget ??= faultSite.targetOf(t).then((target) => {
          target.agent.proc.terminate();
          return target;
        });
      },
    });
    const target = (await drainingTarget)!;
    expect(transcript.text).toBe(expectedTextOf(req));
    expect(transcript.doneEvents).toBe(1);
    expect(transcript.restarts).toBe(0);
    expect(transcript.lastEventId.split(':')[2]).not.toBe(target.vm);
    expect(await target.agent.proc.exited).toBe(0);
  });

  // Runs last: the measured slowness reduces what the entry admits afterwards.
  it('is not moved off a slow engine', async () => {
    const {engines} = faultSite.site;
    const before = await countStarted(engines);
    await setFault(engines, 'slow', 40);
    const req = createRequest('slow');
    const transcript = await faultSite.readGeneration({
      req: {...req, maxTokens: 6},
    });
    await setFault(engines, 'none', 1);
    expect(transcript.text).toBe(expectedTextOf({...req, maxTokens: 6}));
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

import type {ServerResponse} from 'node:http';

import {afterEach, describe, expect, it, vi} from 'vitest';

import {HttpEngineDriver} from '../../src/adapters/index.js';
import {
  DriverErrorKind,
  EngineCommandKind,
  FinishReason,
} from '../../src/core/edges/index.js';
import {startEngine} from '../../stand-ins/engine/server.js';
import {expectedOutput} from '../../stand-ins/engine/text.js';
import type {
  EngineCounts,
  EngineOptions,
} from '../../stand-ins/engine/types.js';
import type {RunningServer} from '../../stand-ins/lib/http-server.js';
import {generate, specOf} from '../support/generation.js';
import {getJson, NOWHERE, post, startScripted} from '../support/http.js';

const FAST = {paceMs: 1, prefillUsPerToken: 0, capacity: 1_000, reportLagMs: 0};
const PROBE_TIMEOUT_MS = 10_000;
const SHORT_TIMEOUT_MS = 100;
const PART_GAP_MS = 20;

const servers: RunningServer[] = [];

async function open(server: Promise<RunningServer>): Promise<string> {
  const opened = await server;
  servers.push(opened);
  return opened.url;
}

function openEngine(options: Partial<EngineOptions> = {}): Promise<string> {
  return open(startEngine({...FAST, ...options}));
}

afterEach(async () => {
  await Promise.all(servers.splice(0).map((server) => server.close()));
});

const ANSWERS = [
  {name: 'that end by max_tokens', prompt: 'a', maxTokens: 33, stop: []},
  {
    name: 'that end by themselves',
    prompt: '[length=9]',
    maxTokens: 33,
    stop: [],
  },
  {name: 'with a stop string', prompt: 'b', maxTokens: 200, stop: ['bags on']},
  {name: 'with a stop character', prompt: 'c', maxTokens: 200, stop: ['ł']},
  {name: 'that are empty', prompt: '[length=0]', maxTokens: 33, stop: []},
];

describe('HttpEngineDriver.generate', () => {
  it.each(ANSWERS)('passes on answers $name', async (request) => {
    const driver = new HttpEngineDriver({baseUrl: await openEngine()});
    const outcome = await generate({driver, spec: specOf(request)});
    expect(outcome).toEqual(expectedOutput(request));
  });

  it.each(ANSWERS)('resumes answers $name at every cut', async (request) => {
    const driver = new HttpEngineDriver({baseUrl: await openEngine()});
    const spec = specOf(request);
    const whole = expectedOutput(request);
    const cuts = [...whole.tokens.keys(), whole.tokens.length];
    const resumed = cuts.map((cut) =>
      generate({driver, spec, resumeFrom: whole.tokens.slice(0, cut)}),
    );
    for (const outcome of await Promise.all(resumed)) {
      expect(outcome).toEqual(whole);
    }
  });

  it('leaves the text empty inside a character', async () => {
    const driver = new HttpEngineDriver({baseUrl: await openEngine()});
    const {tokens} = await generate({driver, spec: specOf({maxTokens: 100})});
    const inside = tokens.findIndex((token) => token.text === '');
    expect(inside).toBeGreaterThanOrEqual(0);
    expect([...(tokens[inside + 1]?.text ?? '')]).toHaveLength(1);
    expect(tokens.map((token) => token.text).join('')).not.toContain('\ufffd');
  });

  it('carries many answers at once', async () => {
    const driver = new HttpEngineDriver({baseUrl: await openEngine()});
    const requests = Array.from({length: 300}, (_, index) => ({
      prompt: `p${index}`,
      maxTokens: 20,
      stop: [],
    }));
    const outcomes = await Promise.all(
      requests.map((request) => generate({driver, spec: specOf(request)})),
    );
    expect(outcomes).toEqual(requests.map(expectedOutput));
  });

  it('cancels the engine’s work and is silent afterwards', async () => {
    const url = await openEngine();
    const driver = new HttpEngineDriver({baseUrl: url});
    const sink = {onTokens: vi.fn(), onFinish: vi.fn(), onFailure: vi.fn()};
    const spec = specOf({prompt: '[length=100000]', maxTokens: 100_000});
    const options = {requestId: 'r', spec, resumeFrom: [], sink};
    const stream = driver.generate(options);
    await vi.waitFor(() => expect(sink.onTokens).toHaveBeenCalled());
    stream.cancel();
    const seen = sink.onTokens.mock.calls.length;
    await vi.waitFor(async () => {
      const counts = await getJson<EngineCounts>(`${url}/counts`);
      expect(counts.cancelled).toBe(1);
    });
    expect(sink.onTokens.mock.calls).toHaveLength(seen);
    expect(sink.onFinish).not.toHaveBeenCalled();
    expect(sink.onFailure).not.toHaveBeenCalled();
  });
});

function event(finishReason: string | null): string {
  const choice = {index: 0, text: 'a', token_ids: [1]};
  const body = {choices: [{...choice, finish_reason: finishReason}]};
  return `data: ${JSON.stringify(body)}\n\n`;
}

const BROKEN_STREAMS = [
  {
    name: 'an error status',
    answer: () => open(startScripted((res) => res.writeHead(503).end())),
    kind: DriverErrorKind.REFUSED,
    length: 0,
  },
  {
    name: 'a refused connection',
    answer: () => Promise.resolve(NOWHERE),
    kind: DriverErrorKind.NOT_SENT,
    length: 0,
  },
  {
    name: 'a connection that closes before an answer',
    answer: () => open(startScripted((res) => res.destroy())),
    kind: DriverErrorKind.LOST,
    length: 0,
  },
  {
    name: 'a connection that breaks after a token',
    answer: () =>
      open(startScripted((res) => res.write(event(null), () => res.destroy()))),
    kind: DriverErrorKind.LOST,
    length: 1,
  },
  {
    name: 'an end without a finish reason',
    answer: () => open(startScripted((res) => res.end(event(null)))),
    kind: DriverErrorKind.LOST,
    length: 1,
  },
  {
    name: 'a DONE without a finish reason',
    answer: () =>
      open(startScripted((res) => res.end(`${event(null)}data: [DONE]\n\n`))),
    kind: DriverErrorKind.LOST,
    length: 1,
  },
  {
    name: 'an event that is no JSON',
    answer: () => open(startScripted((res) => res.end('data: {\n\n'))),
    kind: DriverErrorKind.MALFORMED,
    length: 0,
  },
  {
    name: 'an unknown finish reason',
    answer: () => open(startScripted((res) => res.end(event('tired')))),
    kind: DriverErrorKind.MALFORMED,
    length: 0,
  },
];

describe('HttpEngineDriver failures', () => {
  it.each(BROKEN_STREAMS)('reports $name', async ({answer, kind, length}) => {
    const driver = new HttpEngineDriver({baseUrl: await answer()});
    const outcome = await generate({driver, spec: specOf({})});
    expect(outcome.err?.kind).toBe(kind);
    expect(outcome.finishReason).toBeUndefined();
    expect(outcome.tokens).toHaveLength(length);
  });

  it('joins a character that arrives in two parts', async () => {
    const bytes = Buffer.from(event('stop').replace('"a"', '"é"'));
    const cut = bytes.indexOf('é') + 1;
    const answer = (res: ServerResponse): void => {
      res.write(bytes.subarray(0, cut));
      setTimeout(() => res.end(bytes.subarray(cut)), PART_GAP_MS);
    };
    const url = await open(startScripted(answer));
    const driver = new HttpEngineDriver({baseUrl: url});
    const outcome = await generate({driver, spec: specOf({})});
    expect(outcome.tokens).toEqual([{id: 1, text: 'é'}]);
  });

  it('takes nothing after the finish reason', async () => {
    const answer = event('stop') + event(null) + event('length');
    const url = await open(startScripted((res) => res.end(answer)));
    const driver = new HttpEngineDriver({baseUrl: url});
    const outcome = await generate({driver, spec: specOf({})});
    expect(outcome.tokens).toHaveLength(1);
    expect(outcome.finishReason).toBe(FinishReason.STOP);
  });
});

const BROKEN_PROBES = [
  {
    name: 'a refused connection',
    answer: () => Promise.resolve(NOWHERE),
    timeoutMs: PROBE_TIMEOUT_MS,
    kind: DriverErrorKind.NOT_SENT,
  },
  {
    name: 'silence',
    answer: () => open(startScripted(() => undefined)),
    timeoutMs: SHORT_TIMEOUT_MS,
    kind: DriverErrorKind.TIMEOUT,
  },
  {
    name: 'an error status',
    answer: () => open(startScripted((res) => res.writeHead(500).end())),
    timeoutMs: PROBE_TIMEOUT_MS,
    kind: DriverErrorKind.REFUSED,
  },
  {
    name: 'a report without its fields',
    answer: () => open(startScripted((res) => res.end('{"running":1}'))),
    timeoutMs: PROBE_TIMEOUT_MS,
    kind: DriverErrorKind.MALFORMED,
  },
  {
    name: 'a broken connection',
    answer: () => open(startScripted((res) => res.destroy())),
    timeoutMs: PROBE_TIMEOUT_MS,
    kind: DriverErrorKind.LOST,
  },
];

describe('HttpEngineDriver.probe', () => {
  it('returns the engine’s report', async () => {
    const driver = new HttpEngineDriver({baseUrl: await openEngine()});
    await generate({driver, spec: specOf({})});
    const report = await driver.probe({timeoutMs: PROBE_TIMEOUT_MS});
    const {instance, cachedPrefixes, ...load} = report._unsafeUnwrap();
    expect(load).toEqual({running: 0, waiting: 0, capacity: FAST.capacity});
    expect(instance).not.toBe('');
    expect(cachedPrefixes).toHaveLength(1);
  });

  it.each(BROKEN_PROBES)('reports $name', async ({answer, timeoutMs, kind}) => {
    const driver = new HttpEngineDriver({baseUrl: await answer()});
    const probed = await driver.probe({timeoutMs});
    expect(probed._unsafeUnwrapErr().kind).toBe(kind);
  });

  it('times out at a stalled engine', async () => {
    const url = await openEngine();
    await post(`${url}/faults`, {kind: 'stall'});
    const driver = new HttpEngineDriver({baseUrl: url});
    const probed = await driver.probe({timeoutMs: SHORT_TIMEOUT_MS});
    expect(probed._unsafeUnwrapErr().kind).toBe(DriverErrorKind.TIMEOUT);
  });
});

const FENCING = [
  {name: 'checks fencing', ignoresFencing: false, accepted: [1, 5, 5, 6]},
  {name: 'ignores fencing', ignoresFencing: true, accepted: [1, 5, 4, 5, 6]},
];

describe('HttpEngineDriver.order', () => {
  it.each(FENCING)(
    'orders an engine that $name',
    async ({ignoresFencing, accepted}) => {
      const url = await openEngine({ignoresFencing});
      const driver = new HttpEngineDriver({baseUrl: url});
      for (const fencing of [1, 5, 4, 5, 6]) {
        const kind = EngineCommandKind.LOAD_MODEL;
        const order = {kind, argument: 'm', fencing};
        const made = await driver.sendCommand({
          command: order,
          timeoutMs: PROBE_TIMEOUT_MS,
        });
        const refused = made.isErr() ? made.error.kind : undefined;
        const isRefused = !ignoresFencing && fencing === 4;
        expect(refused).toBe(isRefused ? DriverErrorKind.REFUSED : undefined);
      }
      const listed = await getJson<Array<{fencing: number}>>(`${url}/orders`);
      expect(listed.map((order) => order.fencing)).toEqual(accepted);
    },
  );
});

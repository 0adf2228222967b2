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
import {generate, createSpec} from '../support/generation.js';
import {
  getJson,
  UNREACHABLE_URL,
  post,
  startStubServer,
} from '../support/http.js';

const FAST_ENGINE = {
  paceMs: 1,
  prefillUsPerToken: 0,
  capacity: 1_000,
  reportLagMs: 0,
};
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
  return open(startEngine({...FAST_ENGINE, ...options}));
}

afterEach(async () => {
  await Promise.all(servers.splice(0).map((server) => server.close()));
});

const OUTPUTS = [
  {name: 'that ends at max_tokens', prompt: 'a', maxTokens: 33, stop: []},
  {
    name: 'that the engine ends',
    prompt: '[length=9]',
    maxTokens: 33,
    stop: [],
  },
  {name: 'with a stop string', prompt: 'b', maxTokens: 200, stop: ['bags on']},
  {name: 'with a stop character', prompt: 'c', maxTokens: 200, stop: ['ł']},
  {name: 'that is empty', prompt: '[length=0]', maxTokens: 33, stop: []},
];

describe('HttpEngineDriver.generate', () => {
  it.each(OUTPUTS)('returns output $name', async (request) => {
    const driver = new HttpEngineDriver({baseUrl: await openEngine()});
    const outcome = await generate({driver, spec: createSpec(request)});
    expect(outcome).toEqual(expectedOutput(request));
  });

  it.each(OUTPUTS)(
    'resumes output $name at every position',
    async (request) => {
      const driver = new HttpEngineDriver({baseUrl: await openEngine()});
      const spec = createSpec(request);
      const expected = expectedOutput(request);
      const positions = [...expected.tokens.keys(), expected.tokens.length];
      const resumed = positions.map((position) =>
        generate({
          driver,
          spec,
          resumeFrom: expected.tokens.slice(0, position),
        }),
      );
      for (const outcome of await Promise.all(resumed)) {
        expect(outcome).toEqual(expected);
      }
    },
  );

  it('returns empty text for a token inside a character', async () => {
    const driver = new HttpEngineDriver({baseUrl: await openEngine()});
    const {tokens} = await generate({
      driver,
      spec: createSpec({maxTokens: 100}),
    });
    const inside = tokens.findIndex((token) => token.text === '');
    expect(inside).toBeGreaterThanOrEqual(0);
    expect([...(tokens[inside + 1]?.text ?? '')]).toHaveLength(1);
    expect(tokens.map((token) => token.text).join('')).not.toContain('\ufffd');
  });

  it('runs many generations at once', async () => {
    const driver = new HttpEngineDriver({baseUrl: await openEngine()});
    const requests = Array.from({length: 300}, (_, index) => ({
      prompt: `p${index}`,
      maxTokens: 20,
      stop: [],
    }));
    const outcomes = await Promise.all(
      requests.map((request) => generate({driver, spec: createSpec(request)})),
    );
    expect(outcomes).toEqual(requests.map(expectedOutput));
  });

  it('cancels the generation and calls no sink method afterwards', async () => {
    const url = await openEngine();
    const driver = new HttpEngineDriver({baseUrl: url});
    const sink = {onTokens: vi.fn(), onFinish: vi.fn(), onFailure: vi.fn()};
    const spec = createSpec({prompt: '[length=100000]', maxTokens: 100_000});
    const options = {requestId: 'r', spec, resumeFrom: [], sink};
    const stream = driver.generate(options);
    await vi.waitFor(() => expect(sink.onTokens).toHaveBeenCalled());
    stream.cancel();
    const callCount = sink.onTokens.mock.calls.length;
    await vi.waitFor(async () => {
      const counts = await getJson<EngineCounts>(`${url}/counts`);
      expect(counts.cancelled).toBe(1);
    });
    expect(sink.onTokens.mock.calls).toHaveLength(callCount);
    expect(sink.onFinish).not.toHaveBeenCalled();
    expect(sink.onFailure).not.toHaveBeenCalled();
  });
});

function createEvent(finishReason: string | null): string {
  const choice = {index: 0, text: 'a', token_ids: [1]};
  const body = {choices: [{...choice, finish_reason: finishReason}]};
  return `data: ${JSON.stringify(body)}\n\n`;
}

const BROKEN_STREAMS = [
  {
    name: 'an error status',
    serve: () => open(startStubServer((res) => res.writeHead(503).end())),
    kind: DriverErrorKind.REFUSED,
    length: 0,
  },
  {
    name: 'a refused connection',
    serve: () => Promise.resolve(UNREACHABLE_URL),
    kind: DriverErrorKind.NOT_SENT,
    length: 0,
  },
  {
    name: 'a connection that closes before a response',
    serve: () => open(startStubServer((res) => res.destroy())),
    kind: DriverErrorKind.LOST,
    length: 0,
  },
  {
    name: 'a connection that breaks after a token',
    serve: () =>
      open(
        startStubServer((res) =>
          res.write(createEvent(null), () => res.destroy()),
        ),
      ),
    kind: DriverErrorKind.LOST,
    length: 1,
  },
  {
    name: 'an end without a finish reason',
    serve: () => open(startStubServer((res) => res.end(createEvent(null)))),
    kind: DriverErrorKind.LOST,
    length: 1,
  },
  {
    name: 'a DONE without a finish reason',
    serve: () =>
      open(
        startStubServer((res) =>
          res.end(`${createEvent(null)}data: [DONE]\n\n`),
        ),
      ),
    kind: DriverErrorKind.LOST,
    length: 1,
  },
  {
    name: 'an event that is not JSON',
    serve: () => open(startStubServer((res) => res.end('data: {\n\n'))),
    kind: DriverErrorKind.MALFORMED,
    length: 0,
  },
  {
    name: 'an unknown finish reason',
    serve: () => open(startStubServer((res) => res.end(createEvent('tired')))),
    kind: DriverErrorKind.MALFORMED,
    length: 0,
  },
];

describe('HttpEngineDriver failures', () => {
  it.each(BROKEN_STREAMS)('reports $name', async ({serve, kind, length}) => {
    const driver = new HttpEngineDriver({baseUrl: await serve()});
    const outcome = await generate({driver, spec: createSpec({})});
    expect(outcome.err?.kind).toBe(kind);
    expect(outcome.finishReason).toBeUndefined();
    expect(outcome.tokens).toHaveLength(length);
  });

  it('decodes a character that arrives in two parts', async () => {
    const bytes = Buffer.from(createEvent('stop').replace('"a"', '"é"'));
    const cut = bytes.indexOf('é') + 1;
    const sendInTwoParts = (res: ServerResponse): void => {
      res.write(bytes.subarray(0, cut));
      setTimeout(() => res.end(bytes.subarray(cut)), PART_GAP_MS);
    };
    const url = await open(startStubServer(sendInTwoParts));
    const driver = new HttpEngineDriver({baseUrl: url});
    const outcome = await generate({driver, spec: createSpec({})});
    expect(outcome.tokens).toEqual([{id: 1, text: 'é'}]);
  });

  it('ignores events after the finish reason', async () => {
    const body =
      createEvent('stop') + createEvent(null) + createEvent('length');
    const url = await open(startStubServer((res) => res.end(body)));
    const driver = new HttpEngineDriver({baseUrl: url});
    const outcome = await generate({driver, spec: createSpec({})});
    expect(outcome.tokens).toHaveLength(1);
    expect(outcome.finishReason).toBe(FinishReason.STOP);
  });
});

const BROKEN_PROBES = [
  {
    name: 'a refused connection',
    serve: () => Promise.resolve(UNREACHABLE_URL),
    timeoutMs: PROBE_TIMEOUT_MS,
    kind: DriverErrorKind.NOT_SENT,
  },
  {
    name: 'a missing response',
    serve: () => open(startStubServer(() => undefined)),
    timeoutMs: SHORT_TIMEOUT_MS,
    kind: DriverErrorKind.TIMEOUT,
  },
  {
    name: 'an error status',
    serve: () => open(startStubServer((res) => res.writeHead(500).end())),
    timeoutMs: PROBE_TIMEOUT_MS,
    kind: DriverErrorKind.REFUSED,
  },
  {
    name: 'a report without its fields',
    serve: () => open(startStubServer((res) => res.end('{"running":1}'))),
    timeoutMs: PROBE_TIMEOUT_MS,
    kind: DriverErrorKind.MALFORMED,
  },
  {
    name: 'a broken connection',
    serve: () => open(startStubServer((res) => res.destroy())),
    timeoutMs: PROBE_TIMEOUT_MS,
    kind: DriverErrorKind.LOST,
  },
];

describe('HttpEngineDriver.probe', () => {
  it('returns the engine’s report', async () => {
    const driver = new HttpEngineDriver({baseUrl: await openEngine()});
    await generate({driver, spec: createSpec({})});
    const report = await driver.probe({timeoutMs: PROBE_TIMEOUT_MS});
    const {instance, cachedPrefixes, ...load} = report._unsafeUnwrap();
    expect(load).toEqual({
      running: 0,
      waiting: 0,
      capacity: FAST_ENGINE.capacity,
    });
    expect(instance).not.toBe('');
    expect(cachedPrefixes).toHaveLength(1);
  });

  it.each(BROKEN_PROBES)('reports $name', async ({serve, timeoutMs, kind}) => {
    const driver = new HttpEngineDriver({baseUrl: await serve()});
    const probed = await driver.probe({timeoutMs});
    expect(probed._unsafeUnwrapErr().kind).toBe(kind);
  });

  it('times out if the engine stalls', async () => {
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

describe('HttpEngineDriver.sendCommand', () => {
  it.each(FENCING)(
    'sends commands to an engine that $name',
    async ({ignoresFencing, accepted}) => {
      const url = await openEngine({ignoresFencing});
      const driver = new HttpEngineDriver({baseUrl: url});
      for (const fencing of [1, 5, 4, 5, 6]) {
        const kind = EngineCommandKind.LOAD_MODEL;
        const command = {kind, argument: 'm', fencing};
        const sent = await driver.sendCommand({
          command,
          timeoutMs: PROBE_TIMEOUT_MS,
        });
        const errorKind = sent.isErr() ? sent.error.kind : undefined;
        const isRefused = !ignoresFencing && fencing === 4;
        expect(errorKind).toBe(isRefused ? DriverErrorKind.REFUSED : undefined);
      }
      const listed = await getJson<Array<{fencing: number}>>(`${url}/orders`);
      expect(listed.map((command) => command.fencing)).toEqual(accepted);
    },
  );
});

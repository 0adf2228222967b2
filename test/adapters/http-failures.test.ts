/** Requests whose handlers fail in a way that nobody foresaw. */
import {connect} from 'node:net';

import {errAsync, ok, okAsync} from 'neverthrow';
import {request} from 'undici';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {createCallersApp} from '../../src/adapters/http-callers.js';
import {createOperatorsApp} from '../../src/adapters/http-operators.js';
import type {HttpListener} from '../../src/adapters/http-server.js';
import {listenHttp} from '../../src/adapters/http-server.js';
import {SystemClock} from '../../src/core/clock/index.js';
import {DEFAULT_LIMITS} from '../../src/core/config/index.js';
import type {
  CallerHandler,
  OperatorHandler,
  OutputPart,
} from '../../src/core/edges/index.js';
import {FinishReason, OutputPartKind} from '../../src/core/edges/index.js';
import {Executed, RefusalReason} from '../../src/core/errors/index.js';
import {SILENT_LOGGER} from '../../src/core/logs/index.js';
import {collectEscapedFailures} from '../support/detached-failures.js';
import {waitFor} from '../support/direct-site.js';
import {silentSupervisor} from '../support/supervisor.js';

const ADDRESS = '127.0.0.1';

const BODY = {model: 'm', prompt: 'p', max_tokens: 2, stream: true};

const PARTS: readonly OutputPart[] = [
  {kind: OutputPartKind.TOKENS, tokens: [{id: 1, text: 'a'}], eventId: 'e1'},
  {
    kind: OutputPartKind.FINISHED,
    finishReason: FinishReason.STOP,
    completionTokens: 1,
    eventId: 'e2',
  },
];

const FAILURE = new Error('planted');

/** Places of the edge of callers that can fail. */
interface Faults {
  /** Index of the part whose read fails. */
  part?: number;
  isCloseFailing?: boolean;
  isCountFailing?: boolean;
  /** Whether the generation waits after its first part. */
  isSlow?: boolean;
}

const escaped = collectEscapedFailures();

describe('a failing request', () => {
  const clock = new SystemClock();
  let failures: number;
  let faults: Faults;
  let closed: number;
  let callers: HttpListener;
  let operators: HttpListener;

  beforeEach(async () => {
    failures = 0;
    closed = 0;
    faults = {};
    const logger = {...SILENT_LOGGER, error: () => void failures++};
    const edges = {
      clock,
      address: ADDRESS,
      port: 0,
      logger: SILENT_LOGGER,
      supervisor: silentSupervisor(clock, logger),
    };
    const handler = createHandler();
    const counter = handler;
    const app = createCallersApp({handler, ...edges});
    callers = await listenHttp({app, ...edges, counter});
    const operator = {
      metrics: () => Promise.reject(FAILURE),
      drain: () => {
        throw FAILURE;
      },
      isReady: () => true,
    } as unknown as OperatorHandler;
    operators = await listenHttp({
      app: createOperatorsApp({handler: operator, ...edges}),
      ...edges,
    });
  });

  afterEach(() => {
    callers.close();
    operators.close();
  });

  function createHandler(): CallerHandler {
    const reason = RefusalReason.UNKNOWN_SERVICE;
    return {
      limits: () => DEFAULT_LIMITS,
      authenticate: () => ok(undefined),
      countRefusal: () => {
        if (faults.isCountFailing === true) throw FAILURE;
      },
      call: () => errAsync({reason, ran: Executed.NO, detail: ''}),
      generate: () => okAsync(createReader()),
    };
  }

  function createReader() {
    let index = 0;
    return {
      requestId: 'r1',
      restarted: false,
      next: async () => {
        if (faults.part === index) throw FAILURE;
        if (faults.isSlow === true && index > 0)
          await new Promise((resolve) => setTimeout(resolve, 100));
        return PARTS[index++]!;
      },
      close: () => {
        closed++;
        if (faults.isCloseFailing === true) throw FAILURE;
      },
    };
  }

  async function generate(signal?: AbortSignal) {
    const res = await request(
      `http://${ADDRESS}:${callers.port}/v1/completions`,
      {method: 'POST', body: JSON.stringify(BODY), reset: true, signal},
    );
    return {status: res.statusCode, text: await res.body.text()};
  }

  async function expectOthersServed(): Promise<void> {
    faults = {};
    expect((await generate()).text).toContain('[DONE]');
    expect(escaped()).toEqual([]);
    expect(failures).toBeGreaterThan(0);
  }

  it.each([
    {part: 0, status: 502, text: '"ran":"unknown"'},
    {part: 1, status: 200, text: 'event: error'},
  ])('that cannot read part $part', async ({part, status, text}) => {
    faults = {part};
    const res = await generate();
    expect(res.status).toBe(status);
    expect(res.text).toContain(text);
    expect(res.text).toContain('"ran":"unknown"');
    expect(failures).toBe(1);
    await expectOthersServed();
  });

  it('whose caller leaves as its reader cannot be closed', async () => {
    faults = {isCloseFailing: true, isSlow: true};
    const controller = new AbortController();
    setTimeout(() => controller.abort(), 50);
    await expect(generate(controller.signal)).rejects.toThrow();
    await waitFor(() => closed > 0 && failures > 0);
    await expectOthersServed();
  });

  it('that cannot be counted as a refusal', async () => {
    faults = {isCountFailing: true};
    const url = `http://${ADDRESS}:${callers.port}/nowhere`;
    const res = await request(url, {reset: true});
    expect(res.statusCode).toBe(502);
    expect(await res.body.text()).toContain('"ran":"unknown"');
    await expectOthersServed();
  });

  it('that cannot be parsed nor counted', async () => {
    faults = {isCountFailing: true};
    const socket = connect(callers.port, ADDRESS);
    socket.end('NONSENSE\r\n\r\n');
    await new Promise((resolve) => socket.once('close', resolve).resume());
    await expectOthersServed();
  });

  it.each([
    {method: 'GET' as const, path: '/metrics'},
    {method: 'POST' as const, path: '/drain'},
  ])('of operators: $path', async ({method, path}) => {
    const url = `http://${ADDRESS}:${operators.port}${path}`;
    const res = await request(url, {method, reset: true});
    expect(res.statusCode).toBe(500);
    await res.body.dump();
    expect(failures).toBe(1);
    const ready = await request(`http://${ADDRESS}:${operators.port}/readyz`);
    expect(ready.statusCode).toBe(200);
    await ready.body.dump();
    expect(escaped()).toEqual([]);
  });
});

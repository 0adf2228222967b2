/** Calls other than callers' requests, to targets that send without end. */
import type {Server} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {TargetClient} from '../../platform/target-client.js';
import {HttpEngineDriver, HttpServiceDriver} from '../../src/adapters/index.js';
import type {TargetRecord} from '../../src/core/targets/index.js';
import {sendEndlessResponse} from '../../stand-ins/site/endless-response.js';
import {TargetFault} from '../../stand-ins/site/target-fault.js';
import {createSpec} from '../support/generation.js';
import {silentSupervisor} from '../support/supervisor.js';

/** Longer than any of the limits needs. */
const TIMEOUT_MS = 8_000;

/** Within this a call has failed that is not waiting for its timeout. */
const MAX_MS = 4_000;

/** Most bytes read of one response, including bytes in flight. */
const MAX_BYTES = 24 * 1024 * 1024;

const FAULTS = [
  TargetFault.ENDLESS_INVALID,
  TargetFault.ENDLESS_HEAD,
  TargetFault.ENDLESS_BODY,
  TargetFault.ENDLESS_FAILURE,
  TargetFault.ENDLESS_STATUS_LINE,
  TargetFault.ENDLESS_INFORMATIONAL,
  TargetFault.ENDLESS_CHUNKS,
  TargetFault.ENDLESS_FAILURE_CHUNKS,
  TargetFault.ENDLESS_CHUNK_EXTENSION,
  TargetFault.ENDLESS_TRAILERS,
];

const STREAM_FAULTS = [
  TargetFault.ENDLESS_INVALID,
  TargetFault.ENDLESS_HEAD,
  TargetFault.ENDLESS_COMMENTS,
  TargetFault.ENDLESS_RETRY_LINES,
  TargetFault.ENDLESS_EVENT,
  TargetFault.ENDLESS_EVENTS,
];

const timeoutMs = TIMEOUT_MS;

const targets = new TargetClient({supervisor: silentSupervisor()});

/** Makes a call that has to fail. */
type FailingCall = (address: string) => Promise<{isErr(): boolean}>;

const CALLS: ReadonlyArray<{what: string; call: FailingCall}> = [
  {
    what: 'a load report',
    call: async (address) => targets.queryLoad(recordOf(address), timeoutMs),
  },
  {
    what: 'a health check',
    call: async (address) =>
      targets.probeHealth({target: recordOf(address), path: '/', timeoutMs}),
  },
  {
    what: 'a call through an agent',
    call: async (address) =>
      new HttpServiceDriver({baseUrl: `http://${address}`}).call({
        req: {method: 'GET', path: '/', headers: [], body: new Uint8Array()},
        timeoutMs,
      }),
  },
  {
    what: 'a probe of an agent',
    call: async (address) =>
      new HttpServiceDriver({baseUrl: `http://${address}`}).probe({timeoutMs}),
  },
];

describe('an endless response', () => {
  let server: Server;
  let address: string;
  let fault: TargetFault;
  let bytes: number;
  let sockets: Socket[];

  beforeEach(async () => {
    bytes = 0;
    sockets = [];
    server = createServer((req) =>
      sendEndlessResponse({req, fault, onBytes: (n) => (bytes += n)}),
    );
    server.on('connection', (socket) => sockets.push(socket));
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  });

  afterEach(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });

  async function expectClosed(startMs: number) {
    expect(performance.now() - startMs).toBeLessThan(MAX_MS);
    expect(bytes).toBeLessThan(MAX_BYTES);
    await new Promise((resolve) => setTimeout(resolve, 50));
    const sent = bytes;
    await new Promise((resolve) => setTimeout(resolve, 50));
    expect(bytes).toBe(sent);
  }

  it.each(CALLS.flatMap((row) => FAULTS.map((f) => ({...row, f}))))(
    'to $what ends it: $f',
    async ({call, f}) => {
      fault = f;
      const startMs = performance.now();
      expect((await call(address)).isErr()).toBe(true);
      await expectClosed(startMs);
    },
  );

  it.each(STREAM_FAULTS)(
    'to a generation of an agent ends it: %s',
    async (f) => {
      fault = f;
      const startMs = performance.now();
      const driver = new HttpEngineDriver({baseUrl: `http://${address}`});
      await new Promise<void>((resolve) => {
        driver.generate({
          requestId: 'r',
          spec: createSpec({}),
          resumeFrom: [],
          sink: {
            onTokens: () => undefined,
            onFinish: () => undefined,
            onFailure: () => resolve(),
          },
        });
      });
      await expectClosed(startMs);
    },
  );
});

function recordOf(address: string): TargetRecord {
  return {
    id: 'i-1',
    service: 'desk',
    dataCentre: 'a',
    address,
    isDraining: false,
    startedAtMs: 1,
    slots: 8,
  };
}

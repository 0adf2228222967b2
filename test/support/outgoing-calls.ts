/** Calls that a process makes, each as its own code makes it. */
import {StoreObjectKind} from '../../platform/names.js';
import {StoreSource} from '../../platform/store-client.js';
import {TargetClient} from '../../platform/target-client.js';
import {HttpEngineDriver, HttpServiceDriver} from '../../src/adapters/index.js';
import type {Exchange} from '../../src/core/edges/direct-target.js';
import {Metrics} from '../../src/core/metrics/index.js';
import type {TargetRecord} from '../../src/core/targets/index.js';
import {createSpec} from './generation.js';
import {silentSupervisor} from './supervisor.js';

/** Longer than any test needs. */
const TIMEOUT_MS = 8_000;

const ATTEMPT = {name: 'Attempt-Id', value: 'a-1'};

const timeoutMs = TIMEOUT_MS;

export const metrics = new Metrics();

export const targets = new TargetClient({supervisor: silentSupervisor()});

/** Makes a call; returns whether it got a complete response. */
export type Call = (address: string) => Promise<boolean>;

/** One of the calls. */
export interface OutgoingCall {
  readonly what: string;
  readonly call: Call;
}

/** All calls, with small requests. */
export const SMALL_CALLS: readonly OutgoingCall[] = [
  {what: 'a safe request', call: (address) => exchange(address, 0)},
  {what: 'a call through an agent', call: (address) => callService(address, 0)},
  {
    what: 'a load report',
    call: async (address) =>
      (await targets.queryLoad(recordOf(address), timeoutMs)).isOk(),
  },
  {
    what: 'a health check',
    call: async (address) => {
      const target = recordOf(address);
      return (await targets.probeHealth({target, path: '/', timeoutMs})).isOk();
    },
  },
  {
    what: 'a copy of a KV cache',
    call: async (address) => {
      const source = recordOf(address);
      const copy = {source, attemptId: 'a', destination: 'i-2'};
      return (await targets.copyKvCache(copy)).isOk();
    },
  },
  {
    what: 'a probe of an agent',
    call: async (address) => {
      const driver = new HttpServiceDriver({baseUrl: `http://${address}`});
      return (await driver.probe({timeoutMs})).isOk();
    },
  },
  {
    what: 'a list of the store',
    call: async (address) => (await sourceOf(address).list()).isOk(),
  },
  {
    what: 'a watch of the store',
    call: async (address) => {
      const query = {since: 1, waitMs: timeoutMs};
      return (await sourceOf(address).waitForChanges(query)).isOk();
    },
  },
  {what: 'a generation of an agent', call: generate},
];

/** Sends a request as an entry on the platform does. */
export function exchange(
  address: string,
  bytes: number,
  {pauseMs}: {pauseMs?: number} = {},
): Promise<boolean> {
  return new Promise((resolve) => {
    let hasPaused = false;
    const pause = (ms: number) => {
      hasPaused = true;
      sent.pause();
      setTimeout(() => sent.resume(), ms);
    };
    const sent: Exchange = targets.send({
      target: recordOf(address),
      maxConnections: 20,
      req: {
        attemptId: ATTEMPT.value,
        method: bytes > 0 ? 'POST' : 'GET',
        path: '/',
        headers: [ATTEMPT],
        body: new Uint8Array(bytes),
        leftMs: timeoutMs,
      },
      listener: {
        onNotice: () => undefined,
        onHead: () => undefined,
        onData: () => {
          if (pauseMs !== undefined && !hasPaused) pause(pauseMs);
        },
        onComplete: () => resolve(true),
        onFailure: () => resolve(false),
      },
    });
  });
}

/** Makes a plain call as an agent does. */
export async function callService(
  address: string,
  bytes: number,
): Promise<boolean> {
  const driver = new HttpServiceDriver({baseUrl: `http://${address}`});
  const method = bytes > 0 ? 'POST' : 'GET';
  const body = new Uint8Array(bytes);
  const req = {method, path: '/', headers: [], body};
  return (await driver.call({req, timeoutMs})).isOk();
}

/** Returns whether a generation ends other than with its loss. */
function generate(address: string): Promise<boolean> {
  const driver = new HttpEngineDriver({baseUrl: `http://${address}`});
  return new Promise((resolve) => {
    driver.generate({
      requestId: 'r',
      spec: createSpec({}),
      resumeFrom: [],
      sink: {
        onTokens: () => resolve(true),
        onFinish: () => resolve(true),
        onFailure: () => resolve(false),
      },
    });
  });
}

function sourceOf(address: string): StoreSource {
  const kind = StoreObjectKind.CONFIG;
  return new StoreSource({url: `http://${address}`, kind, metrics});
}

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

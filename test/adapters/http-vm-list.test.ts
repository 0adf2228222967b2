import {afterEach, describe, expect, it} from 'vitest';

import {HttpVmList} from '../../src/adapters/index.js';
import {VmListErrorKind, VmRole, VmState} from '../../src/core/edges/index.js';
import type {RunningServer} from '../../stand-ins/lib/http-server.js';
import {startPlatform} from '../../stand-ins/platform/server.js';
import {UNREACHABLE_URL, post, startStubServer} from '../support/http.js';

const VM = {
  name: 't1',
  role: VmRole.TARGET,
  state: VmState.LIVE,
  dataCentre: 'poznan-1',
  address: '127.0.0.1',
  peerPort: 7_000,
  service: 'drafts',
};

const TIMEOUT_MS = 10_000;
const SHORT_TIMEOUT_MS = 100;
const LONG_LAG_MS = 600_000;

const servers: RunningServer[] = [];

async function open(server: Promise<RunningServer>): Promise<string> {
  const opened = await server;
  servers.push(opened);
  return opened.url;
}

afterEach(async () => {
  await Promise.all(servers.splice(0).map((server) => server.close()));
});

async function register(url: string, vm: typeof VM): Promise<void> {
  const body = JSON.stringify(vm);
  await fetch(`${url}/vms/${vm.name}`, {method: 'PUT', body});
}

describe('HttpVmList', () => {
  it('reads live and draining VMs, also those registered during an outage', async () => {
    const url = await open(startPlatform({vmLagMs: 0}));
    const leaving = {...VM, name: 't2', state: VmState.LEAVING};
    await register(url, VM);
    await post(`${url}/faults`, {mode: 'down'});
    await register(url, leaving);
    await post(`${url}/faults`, {mode: 'ok'});
    const list = new HttpVmList({baseUrl: url});
    expect((await list.read())._unsafeUnwrap()).toEqual([VM, leaving]);
    await fetch(`${url}/vms/${VM.name}`, {method: 'DELETE'});
    expect((await list.read())._unsafeUnwrap()).toEqual([leaving]);
  });

  it('returns no changes that are newer than the lag', async () => {
    const url = await open(startPlatform({vmLagMs: LONG_LAG_MS}));
    await register(url, VM);
    const list = new HttpVmList({baseUrl: url});
    expect((await list.read())._unsafeUnwrap()).toEqual([]);
  });
});

const FAILURES = [
  {
    name: 'a refused connection',
    serve: () => Promise.resolve(UNREACHABLE_URL),
    timeoutMs: TIMEOUT_MS,
    kind: VmListErrorKind.UNAVAILABLE,
  },
  {
    name: 'an error status',
    serve: () => open(startStubServer((res) => res.writeHead(503).end())),
    timeoutMs: TIMEOUT_MS,
    kind: VmListErrorKind.UNAVAILABLE,
  },
  {
    name: 'a missing response',
    serve: () => open(startStubServer(() => undefined)),
    timeoutMs: SHORT_TIMEOUT_MS,
    kind: VmListErrorKind.UNAVAILABLE,
  },
  {
    name: 'an unknown state',
    serve: () => {
      const body = JSON.stringify({vms: [{...VM, state: 'asleep'}]});
      return open(startStubServer((res) => res.end(body)));
    },
    timeoutMs: TIMEOUT_MS,
    kind: VmListErrorKind.MALFORMED,
  },
];

describe('HttpVmList errors', () => {
  it.each(FAILURES)('reports $name', async ({serve, timeoutMs, kind}) => {
    const baseUrl = await serve();
    const list = new HttpVmList({baseUrl, timeoutMs});
    expect((await list.read())._unsafeUnwrapErr().kind).toBe(kind);
  });
});

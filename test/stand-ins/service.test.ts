import {setTimeout as sleep} from 'node:timers/promises';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import type {RunningServer} from '../../stand-ins/lib/http-server.js';
import {startLedger} from '../../stand-ins/ledger/server.js';
import {getJson, post} from '../support/http.js';
import type {Program} from '../support/program.js';
import {startProgram} from '../support/program.js';

/** Time without an execution that shows that calls are queued. */
const QUIET_MS = 100;
const SERVICE = 'stand-ins/service/main.js';

let ledger: RunningServer;
let service: Program;

beforeEach(async () => {
  ledger = await startLedger();
  service = await startProgram(SERVICE, [`--ledger-url=${ledger.url}`]);
});

afterEach(async () => {
  await service.stop();
  await ledger.close();
});

function book(key: string): Promise<Response> {
  const headers = {'idempotency-key': key};
  return fetch(`${service.url}/bookings`, {method: 'POST', headers});
}

const CRASHES = [
  {kind: 'die_before_effect', perKey: [{key: 'a', count: 2}]},
  {
    kind: 'die_after_effect',
    perKey: [
      {key: 'a', count: 2},
      {key: 'b', count: 1},
    ],
  },
];

describe('service', () => {
  it.each(CRASHES)(
    'counts executions correctly across $kind',
    async ({kind, perKey}) => {
      expect(await (await book('a')).json()).toMatchObject({execution: 1});
      expect(await (await book('a')).json()).toMatchObject({execution: 2});
      await post(`${service.url}/faults`, {kind});
      await expect(book('b')).rejects.toThrow();
      expect(await service.exited).toBe(1);
      expect(await getJson(`${ledger.url}/counts`)).toEqual({perKey});
    },
  );

  it('queues calls while stalled and runs them afterwards', async () => {
    await post(`${service.url}/faults`, {kind: 'stall'});
    const held = book('a');
    await sleep(QUIET_MS);
    const before = await getJson(`${ledger.url}/counts`);
    expect(before).toEqual({perKey: []});
    await post(`${service.url}/faults`, {kind: 'none'});
    expect((await held).status).toBe(201);
  });
});

/** Load reports of targets, with malformed lists of running requests. */
import {afterEach, describe, expect, it} from 'vitest';

import {TargetClient} from '../../platform/target-client.js';
import type {RunningServer} from '../../stand-ins/lib/http-server.js';
import {startServer} from '../../stand-ins/lib/http-server.js';
import {silentSupervisor} from '../support/supervisor.js';

const TIMEOUT_MS = 1_000;

const DEPTH = 50_000;

const recordOf = ({url}: RunningServer) => ({
  id: 'i-1',
  service: 'writers',
  address: new URL(url).host,
  dataCentre: 'a',
  slots: 8,
  isDraining: false,
});

describe('a load report', () => {
  let server: RunningServer;

  afterEach(() => server.close());

  it.each([
    {name: 'running requests', runs: [['a1', 10, 3, 5]], ids: ['a1']},
    {name: 'no running request', runs: [], ids: []},
    {name: 'no list', runs: undefined, ids: undefined},
    {name: 'an item that is no list', runs: [7], ids: undefined},
    {name: 'an item without an id', runs: [['a1', 1], []], ids: undefined},
  ])('with $name is decoded', async ({runs, ids}) => {
    server = await startServer({
      address: '127.0.0.1',
      port: 0,
      handle: ({res}) => {
        res.end(JSON.stringify({active: 1, queued: 0, kv_used: 0, runs}));
        return Promise.resolve();
      },
    });
    const load = await new TargetClient({
      supervisor: silentSupervisor(),
    }).queryLoad(recordOf(server), TIMEOUT_MS);
    expect(load._unsafeUnwrap().generatingIds).toEqual(ids);
  });

  it('that is nested deeply is refused', async () => {
    const deep = '['.repeat(DEPTH) + ']'.repeat(DEPTH);
    server = await startServer({
      address: '127.0.0.1',
      port: 0,
      handle: ({res}) => {
        res.end(`{"active":${deep}}`);
        return Promise.resolve();
      },
    });
    const load = await new TargetClient({
      supervisor: silentSupervisor(),
    }).queryLoad(recordOf(server), TIMEOUT_MS);
    expect(load.isErr()).toBe(true);
  });
});

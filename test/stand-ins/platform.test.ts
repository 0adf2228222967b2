import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import type {RunningServer} from '../../stand-ins/lib/http-server.js';
import {startPlatform} from '../../stand-ins/platform/server.js';
import {getJson, post} from '../support/http.js';

let platform: RunningServer;

beforeEach(async () => {
  platform = await startPlatform();
});

afterEach(() => platform.close());

const MALFORMED = [
  {name: 'a create without a value', method: 'POST', body: '{}', status: 400},
  {name: 'broken JSON', method: 'POST', body: '{', status: 400},
  {name: 'an unknown method', method: 'PATCH', body: '{}', status: 405},
];

describe('platform', () => {
  it('counts each call by kind and verb, also while down', async () => {
    const url = `${platform.url}/objects/claim/a`;
    await post(url, {value: 1});
    await fetch(url);
    await fetch(`${platform.url}/vms`);
    await post(`${platform.url}/faults`, {mode: 'down'});
    expect((await fetch(url)).status).toBe(503);
    expect(await getJson(`${platform.url}/counts`)).toEqual({
      total: 4,
      calls: [
        {kind: 'claim', verb: 'create', count: 1},
        {kind: 'claim', verb: 'get', count: 2},
        {kind: 'vms', verb: 'list', count: 1},
      ],
    });
  });

  it('accepts exactly one of many concurrent creates', async () => {
    const url = `${platform.url}/objects/claim/a`;
    const creates = Array.from({length: 20}, (_, value) => post(url, {value}));
    const statuses = (await Promise.all(creates)).map((res) => res.status);
    expect(statuses.filter((status) => status === 201)).toHaveLength(1);
    expect(statuses.filter((status) => status === 409)).toHaveLength(19);
  });

  it.each(MALFORMED)('rejects $name', async ({method, body, status}) => {
    const url = `${platform.url}/objects/claim/a`;
    expect((await fetch(url, {method, body})).status).toBe(status);
  });
});

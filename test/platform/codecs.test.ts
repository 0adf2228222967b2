/** Decoding of stored objects and of headers. */
import {describe, expect, it} from 'vitest';

import {decodeConfig} from '../../platform/config-codec.js';
import {
  decodeCallerHeaders,
  decodeTargetResponseHeaders,
  encodeTargetRequestHeaders,
} from '../../platform/headers.js';
import {decodeTarget} from '../../platform/target-codec.js';
import {OperationKind} from '../../src/core/routes/index.js';
import {siteConfig} from '../../stand-ins/site/config.js';

describe('decodeConfig', () => {
  it('decodes routes, splits, services, limits and keys', () => {
    const wire = siteConfig({version: 7});
    const [first, ...others] = wire.routes;
    const split = [
      {service: 'desk', weight: 9},
      {service: 'desk-2', weight: 1},
    ];
    const routes = [{...first, traffic_split: split}, ...others];
    const config = decodeConfig('main', {...wire, routes}).unsafeCoerce();
    expect(config.version).toBe(7);
    expect(config.routes[0]).toMatchObject({
      operation: OperationKind.SAFE,
      shares: split,
      maxAttempts: 2,
      isResumable: false,
    });
    expect(config.routes[2]).toMatchObject({
      operation: OperationKind.STREAM,
      isResumable: true,
      maxPauseMs: 700,
    });
    expect(config.services[1]!.engine).toMatchObject({canCopy: true});
    expect(config.accounts).toHaveLength(1);
  });

  it('treats an unknown kind of operation as unsafe', () => {
    const wire = siteConfig({version: 1});
    const routes = wire.routes.map((r) => ({...r, route_type: 'new'}));
    const config = decodeConfig('main', {...wire, routes}).unsafeCoerce();
    expect(config.routes[0]!.operation).toBe(OperationKind.UNSAFE);
  });

  it.each([
    {name: 'another object', object: 'other', spec: siteConfig({version: 1})},
    {name: 'an incomplete configuration', object: 'main', spec: {version: 1}},
    {name: 'null', object: 'main', spec: null},
  ])('decodes $name to Nothing', ({object, spec}) => {
    expect(decodeConfig(object, spec).isNothing()).toBe(true);
  });
});

describe('decodeTarget', () => {
  const validSpec = {
    service: 's',
    address: '10.0.0.1:80',
    zone: 'a',
    slots: 4,
    state: 'ready',
    born: 5,
  };

  it.each([
    {name: 'a ready target', spec: validSpec, isDraining: false},
    {
      name: 'a draining target',
      spec: {...validSpec, state: 'draining'},
      isDraining: true,
    },
    {
      name: 'a target with unknown fields',
      spec: {...validSpec, x: 1},
      isDraining: false,
    },
  ])('decodes $name', ({spec, isDraining}) => {
    const target = decodeTarget('i-1', spec).unsafeCoerce();
    expect(target).toMatchObject({id: 'i-1', dataCentre: 'a', isDraining});
  });

  it.each([
    {...validSpec, slots: 0},
    {...validSpec, slots: '4'},
    {...validSpec, address: '10.0.0.1'},
    {...validSpec, state: 7},
    {...validSpec, state: 'asleep'},
    {...validSpec, zone: undefined},
    'text',
    null,
  ])('decodes a malformed registration to Nothing: %j', (spec) => {
    expect(decodeTarget('i-1', spec).isNothing()).toBe(true);
  });
});

describe('headers', () => {
  const raw = [
    ...['Host', 'x.example'],
    ...['Attempt-Id', 'a1'],
    ...['Authorization', 'Token k1'],
    ...['Deadline-Ms', '1500'],
    ...['Token-Count', '1460,80'],
    ...['Tenant', 'forged'],
    ...['Kv-Backup', '10.0.0.9:80'],
    ...['Connection', 'close, X-Hop'],
    ...['X-Hop', '1'],
    ...['X-Twice', '1'],
    ...['X-Twice', '2'],
  ];

  it('of callers are decoded; system and connection headers are dropped', () => {
    const head = decodeCallerHeaders(raw);
    expect(head).toMatchObject({
      attemptId: 'a1',
      host: 'x.example',
      deadlineMs: 1_500,
      key: 'k1',
      generation: {promptTokens: 1_460, maxOutputTokens: 80},
    });
    const names = head.headers.map(({name}) => name);
    const kept = ['Host', 'Attempt-Id', 'Token-Count', 'X-Twice', 'X-Twice'];
    expect(names).toEqual(kept);
  });

  it.each([
    {
      text: '5e1c:800, 91bd:410',
      expected: [
        {id: '5e1c', tokens: 800},
        {id: '91bd', tokens: 410},
      ],
    },
    {text: '5e1c', expected: []},
    {text: '5e1c:800,:10', expected: []},
    {text: '5e1c:800:1', expected: []},
    {text: '', expected: []},
  ])('with the prompt parts $text have $expected', ({text, expected}) => {
    const head = decodeCallerHeaders(['Prefix-Hash', text]);
    expect(head.promptParts).toEqual(expected);
  });

  it.each(['-1', '1e3', '', 'soon', '9999999999999'])(
    'with the malformed deadline %j have no deadline',
    (text) => {
      const head = decodeCallerHeaders(['Deadline-Ms', text]);
      expect(head.deadlineMs).toBeUndefined();
    },
  );

  it('of requests to targets contain the system headers', () => {
    const flat = encodeTargetRequestHeaders({
      target: decodeTarget('i-1', {
        service: 's',
        address: '10.0.0.1:80',
        zone: 'a',
        slots: 1,
        state: 'ready',
      }).unsafeCoerce(),
      req: {
        attemptId: 'a1',
        method: 'POST',
        path: '/',
        headers: [{name: 'Last-Event-Id', value: '3'}],
        body: Buffer.alloc(0),
        leftMs: 99.9,
        clientAccount: 'acc',
        lastEventId: '12',
        copyFrom: {address: '10.0.0.2:80', id: 'a1'},
      },
    });
    const pairs = flat.flatMap((name, i) =>
      i % 2 === 0 ? [[name, flat[i + 1]]] : [],
    );
    expect(pairs).toEqual([
      ['Deadline-Ms', '99'],
      ['Expect-Instance', 'i-1'],
      ['Tenant', 'acc'],
      ['Last-Event-Id', '12'],
      ['Kv-From', '10.0.0.2:80/a1'],
    ]);
  });

  it.each([
    {raw: ['Instance-Load', '3,1'], load: {running: 3, waiting: 1}},
    {raw: ['Instance-Load', '3,1,8'], load: {running: 3, waiting: 1, slots: 8}},
    {
      raw: ['Instance-Load', '3,1,8,250'],
      load: {running: 3, waiting: 1, slots: 8, slowness: 2.5},
    },
    {
      raw: ['Instance-Load', '3,1,8,0'],
      load: {running: 3, waiting: 1, slots: 8},
    },
    {
      raw: ['Instance-Load', '3,1,8,slow'],
      load: {running: 3, waiting: 1, slots: 8},
    },
    {raw: ['Instance-Load', 'much'], load: undefined},
    {raw: [], load: undefined},
  ])('of responses contain the load: $raw', ({raw: rawHeaders, load}) => {
    expect(decodeTargetResponseHeaders(rawHeaders).load).toEqual(load);
  });
});

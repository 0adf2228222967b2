/** Lookups in a configuration, compared with a simple reference model. */
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import type {Route, RoutingConfig} from '../../../src/core/routes/index.js';
import {
  OperationKind,
  pickService,
  RouteTable,
} from '../../../src/core/routes/index.js';

const SEED = 20261204;
const SEGMENTS = ['a', 'b', 'ab'] as const;
const HOSTS = ['x.example', 'y.example'] as const;

function route(fields: Partial<Route>): Route {
  return {
    name: 'r',
    host: 'x.example',
    pathPrefix: '/',
    operation: OperationKind.SAFE,
    shares: [{service: 's', weight: 1}],
    timeoutMs: 1_000,
    latencyObjectiveMs: 100,
    priority: 1,
    maxAttempts: 2,
    isPublic: false,
    isResumable: false,
    ...fields,
  };
}

function config(fields: Partial<RoutingConfig>): RoutingConfig {
  return {
    version: 1,
    routes: [],
    services: [],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
    ...fields,
  };
}

/** Reference model: tries each prefix of the path, longest first. */
function findReference(options: {
  routes: readonly Route[];
  host: string;
  path: string;
}): Route | undefined {
  const {routes, host, path} = options;
  for (let end = path.length; end > 0; end--) {
    const prefix = path.slice(0, end);
    const found = routes.find(
      (r) => r.host === host && r.pathPrefix === prefix,
    );
    if (found !== undefined) return found;
  }
  return undefined;
}

const prefixArb = fc
  .array(fc.constantFrom(...SEGMENTS), {maxLength: 3})
  .map((parts) => `/${parts.map((part) => `${part}/`).join('')}`);

const routeArb = fc.record({
  host: fc.constantFrom(...HOSTS),
  pathPrefix: prefixArb,
});

const pathArb = fc
  .array(fc.constantFrom(...SEGMENTS, 'c'), {maxLength: 4})
  .map((parts) => `/${parts.join('/')}`);

describe('RouteTable', () => {
  it('agrees with the reference model', () => {
    fc.assert(
      fc.property(
        fc.uniqueArray(routeArb, {
          maxLength: 12,
          selector: (r) => r.host + r.pathPrefix,
        }),
        fc.constantFrom(...HOSTS),
        pathArb,
        (fields, host, path) => {
          const routes = fields.map((f) => route({...f, name: f.pathPrefix}));
          const table = new RouteTable(config({routes}));
          const found = table.findRoute({host, path});
          expect(found).toEqual(findReference({routes, host, path}));
        },
      ),
      {seed: SEED, numRuns: 2_000},
    );
  });

  it.each([
    {host: 'X.Example', path: '/a/1', found: true},
    {host: 'x.example:8080', path: '/a/1', found: true},
    {host: 'x.example', path: '/a/1?to=/b/', found: true},
    {host: 'x.example', path: '/a', found: false},
    {host: 'x.example', path: '/b/?/a/', found: false},
    {host: 'z.example', path: '/a/1', found: false},
  ])('$host $path has a route: $found', ({host, path, found}) => {
    const table = new RouteTable(
      config({routes: [route({pathPrefix: '/a/'})]}),
    );
    expect(table.findRoute({host, path}) !== undefined).toBe(found);
  });

  it('finds the account of a key, and which routes need a key', () => {
    const accounts = [
      {clientAccount: 'a', keys: ['k1', 'k2']},
      {clientAccount: 'b', keys: []},
    ];
    const table = new RouteTable(config({accounts}));
    expect(table.findAccount('k2')?.clientAccount).toBe('a');
    expect(table.findAccount('k3')).toBeUndefined();
    expect(table.requiresKey(route({}))).toBe(true);
    expect(table.requiresKey(route({isPublic: true}))).toBe(false);
    expect(new RouteTable(config({})).requiresKey(route({}))).toBe(false);
  });
});

describe('pickService', () => {
  const shares = [
    {service: 'old', weight: 90},
    {service: 'new', weight: 10},
  ];

  it.each([
    {draw: 0, service: 'old'},
    {draw: 0.899, service: 'old'},
    {draw: 0.9, service: 'new'},
    {draw: 0.999, service: 'new'},
  ])('picks $service for a draw of $draw', ({draw, service}) => {
    expect(pickService({route: route({shares}), draw})).toBe(service);
  });

  it('picks no service without shares', () => {
    expect(pickService({route: route({shares: []}), draw: 0})).toBeUndefined();
  });
});

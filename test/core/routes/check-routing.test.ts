/** Configurations with one error each. */
import {describe, expect, it} from 'vitest';

import type {Route, RoutingConfig} from '../../../src/core/routes/index.js';
import {
  findRoutingProblems,
  OperationKind,
  RoutingProblemKind,
} from '../../../src/core/routes/index.js';

const ROUTE: Route = {
  name: 'drafts',
  host: 'x.example',
  pathPrefix: '/drafts/',
  operation: OperationKind.STREAM,
  shares: [{service: 'writers', weight: 1}],
  timeoutMs: 1_000,
  latencyObjectiveMs: 100,
  priority: 1,
  maxAttempts: 2,
  isPublic: false,
  isResumable: true,
};

const CONFIG: RoutingConfig = {
  version: 1,
  routes: [ROUTE],
  services: [{name: 'writers', healthPath: '/healthz', maxConnections: 1}],
  limits: {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  },
  accounts: [{clientAccount: 'a', keys: ['k1', 'k2']}],
};

const withRoute = (fields: Partial<Route>): RoutingConfig => ({
  ...CONFIG,
  routes: [{...ROUTE, ...fields}],
});

const CASES: ReadonlyArray<{
  readonly config: RoutingConfig;
  readonly kind: RoutingProblemKind;
  readonly subject: string;
}> = [
  {
    config: withRoute({shares: [{service: 'gone', weight: 1}]}),
    kind: RoutingProblemKind.UNKNOWN_SERVICE,
    subject: 'drafts',
  },
  {
    config: withRoute({shares: []}),
    kind: RoutingProblemKind.NO_SERVICE,
    subject: 'drafts',
  },
  {
    config: withRoute({shares: [{service: 'writers', weight: -1}]}),
    kind: RoutingProblemKind.BAD_SHARE,
    subject: 'drafts',
  },
  {
    config: withRoute({pathPrefix: 'drafts/'}),
    kind: RoutingProblemKind.BAD_PREFIX,
    subject: 'drafts',
  },
  {
    config: withRoute({timeoutMs: 0}),
    kind: RoutingProblemKind.BAD_TIMEOUT,
    subject: 'drafts',
  },
  {
    config: withRoute({operation: OperationKind.SAFE}),
    kind: RoutingProblemKind.NOT_A_STREAM,
    subject: 'drafts',
  },
  {
    config: {...CONFIG, routes: [ROUTE, {...ROUTE, name: 'again'}]},
    kind: RoutingProblemKind.DUPLICATE_ROUTE,
    subject: 'again',
  },
  {
    config: {
      ...CONFIG,
      accounts: [
        {clientAccount: 'a', keys: ['k1']},
        {clientAccount: 'b', keys: ['k1']},
      ],
    },
    kind: RoutingProblemKind.SHARED_KEY,
    subject: 'b',
  },
];

describe('findRoutingProblems', () => {
  it('finds no problem in a valid configuration', () => {
    expect(findRoutingProblems(CONFIG)).toEqual([]);
  });

  it.each(CASES)('reports $kind', ({config, kind, subject}) => {
    expect(findRoutingProblems(config)).toMatchObject([{kind, subject}]);
  });

  it('does not disclose keys', () => {
    const [problem] = findRoutingProblems(CASES.at(-1)!.config);
    expect(JSON.stringify(problem)).not.toContain('k1');
  });
});

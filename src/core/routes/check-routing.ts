/** Finds what cannot work in a configuration that is well-formed. */
import type {Route, RoutingConfig} from './types.js';
import {OperationKind} from './types.js';

/** Kinds of mistakes in a configuration. */
export enum RoutingProblemKind {
  UNKNOWN_SERVICE = 'unknown_service',
  NO_SERVICE = 'no_service',
  BAD_SHARE = 'bad_share',
  BAD_PREFIX = 'bad_prefix',
  BAD_TIMEOUT = 'bad_timeout',
  DUPLICATE_ROUTE = 'same_place',
  SHARED_KEY = 'shared_key',
  NOT_A_STREAM = 'not_a_stream',
}

/** A mistake, and where it is. */
export interface RoutingProblem {
  readonly kind: RoutingProblemKind;
  /** Name of the route or of the client account. */
  readonly subject: string;
  readonly detail: string;
}

/**
 * All mistakes of a configuration, route by route and then key by key.
 *
 * @example
 * const problems = findRoutingProblems(config);
 */
export function findRoutingProblems(config: RoutingConfig): RoutingProblem[] {
  const services = new Set(config.services.map(({name}) => name));
  return [
    ...config.routes.flatMap((route) => checkRoute(route, services)),
    ...findSamePlaces(config.routes),
    ...findSharedKeys(config),
  ];
}

function checkRoute(
  route: Route,
  services: ReadonlySet<string>,
): RoutingProblem[] {
  const {name: subject, pathPrefix, shares, timeoutMs} = route;
  const problems: RoutingProblem[] = [];
  const add = (kind: RoutingProblemKind, detail: string) =>
    problems.push({kind, subject, detail});
  if (shares.length === 0) {
    add(RoutingProblemKind.NO_SERVICE, 'names no service');
  }
  for (const {service, weight} of shares) {
    if (!services.has(service)) {
      add(RoutingProblemKind.UNKNOWN_SERVICE, `no service "${service}"`);
    }
    if (weight < 0) {
      add(RoutingProblemKind.BAD_SHARE, `"${service}" has weight ${weight}`);
    }
  }
  if (!pathPrefix.startsWith('/')) {
    add(RoutingProblemKind.BAD_PREFIX, `"${pathPrefix}" begins with no slash`);
  }
  if (timeoutMs <= 0) {
    add(RoutingProblemKind.BAD_TIMEOUT, `times out after ${timeoutMs} ms`);
  }
  if (route.isResumable && route.operation !== OperationKind.STREAM) {
    add(RoutingProblemKind.NOT_A_STREAM, 'only a stream can be resumed');
  }
  return problems;
}

/** Of two routes at one place only the first is ever used. */
function findSamePlaces(routes: readonly Route[]): RoutingProblem[] {
  const firstAt = new Map<string, Route>();
  return routes.flatMap((route) => {
    const place = `${route.host.toLowerCase()}${route.pathPrefix}`;
    const first = firstAt.get(place);
    if (first === undefined) {
      firstAt.set(place, route);
      return [];
    }
    const kind = RoutingProblemKind.DUPLICATE_ROUTE;
    const detail = `hidden by "${first.name}"`;
    return [{kind, subject: route.name, detail}];
  });
}

/** A key opens one account only; the key itself is not repeated. */
function findSharedKeys({accounts = []}: RoutingConfig): RoutingProblem[] {
  const holderOf = new Map<string, string>();
  return accounts.flatMap(({clientAccount, keys}) =>
    keys.flatMap((key) => {
      const holder = holderOf.get(key);
      holderOf.set(key, clientAccount);
      if (holder === undefined || holder === clientAccount) return [];
      const kind = RoutingProblemKind.SHARED_KEY;
      const detail = `has a key of "${holder}"`;
      return [{kind, subject: clientAccount, detail}];
    }),
  );
}

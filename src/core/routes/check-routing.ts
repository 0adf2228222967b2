/** Finds errors in a well-formed configuration. */
import type {Route, RoutingConfig} from './types.js';
import {OperationKind} from './types.js';

/** Kinds of errors in a configuration. */
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

/** An error in a configuration. */
export interface RoutingProblem {
  readonly kind: RoutingProblemKind;
  /** Name of the route or of the client account. */
  readonly subject: string;
  readonly detail: string;
}

/**
 * Returns all errors of a configuration, by route and then by key.
 *
 * @example
 * const problems = findRoutingProblems(config);
 */
export function findRoutingProblems(config: RoutingConfig): RoutingProblem[] {
  const services = new Set(config.services.map(({name}) => name));
  return [
    ...config.routes.flatMap((route) => checkRoute(route, services)),
    ...findDuplicateRoutes(config.routes),
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
    add(RoutingProblemKind.NO_SERVICE, 'has no service');
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
    add(
      RoutingProblemKind.BAD_PREFIX,
      `"${pathPrefix}" does not begin with a slash`,
    );
  }
  if (timeoutMs <= 0) {
    add(RoutingProblemKind.BAD_TIMEOUT, `has a timeout of ${timeoutMs} ms`);
  }
  if (route.isResumable && route.operation !== OperationKind.STREAM) {
    add(RoutingProblemKind.NOT_A_STREAM, 'only a stream can be resumed');
  }
  return problems;
}

/** Of several routes with the same host and prefix only the first is used. */
function findDuplicateRoutes(routes: readonly Route[]): RoutingProblem[] {
  const firstByLocation = new Map<string, Route>();
  return routes.flatMap((route) => {
    const location = `${route.host.toLowerCase()}${route.pathPrefix}`;
    const first = firstByLocation.get(location);
    if (first === undefined) {
      firstByLocation.set(location, route);
      return [];
    }
    const kind = RoutingProblemKind.DUPLICATE_ROUTE;
    const detail = `hidden by "${first.name}"`;
    return [{kind, subject: route.name, detail}];
  });
}

/** A key belongs to one account only. The detail does not contain the key. */
function findSharedKeys({accounts = []}: RoutingConfig): RoutingProblem[] {
  const ownerOf = new Map<string, string>();
  return accounts.flatMap(({clientAccount, keys}) =>
    keys.flatMap((key) => {
      const owner = ownerOf.get(key);
      ownerOf.set(key, clientAccount);
      if (owner === undefined || owner === clientAccount) return [];
      const kind = RoutingProblemKind.SHARED_KEY;
      const detail = `shares a key with "${owner}"`;
      return [{kind, subject: clientAccount, detail}];
    }),
  );
}

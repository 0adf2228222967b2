/** Looks up routes, services and accounts in a configuration. */
import type {
  AccountKeys,
  CallerLimits,
  Route,
  RoutedService,
  RoutingConfig,
} from './types.js';

/**
 * A configuration that is indexed for lookups.
 *
 * @example
 * const table = new RouteTable(config);
 * const route = table.findRoute({host: 'a.example', path: '/orders/7'});
 */
export class RouteTable {
  readonly version: number;
  readonly limits: CallerLimits;
  private readonly routesByHost = new Map<string, Route[]>();
  private readonly services = new Map<string, RoutedService>();
  private readonly accountByKey = new Map<string, AccountKeys>();
  private readonly accountByName = new Map<string, AccountKeys>();
  private readonly hasAccounts: boolean;
  /** Most urgent priority of the routes to a service. */
  private readonly topPriorities = new Map<string, number>();

  constructor(config: RoutingConfig) {
    this.version = config.version;
    this.limits = config.limits;
    this.hasAccounts = config.accounts !== undefined;
    for (const service of config.services) {
      this.services.set(service.name, service);
    }
    for (const account of config.accounts ?? []) {
      this.accountByName.set(account.clientAccount, account);
      for (const key of account.keys) this.accountByKey.set(key, account);
    }
    for (const route of config.routes) this.addRoute(route);
    for (const routes of this.routesByHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
  }

  /** Finds the route with the longest matching prefix; ignores the query. */
  findRoute(options: {host: string; path: string}): Route | undefined {
    const path = withoutQuery(options.path);
    const routes = this.routesByHost.get(hostName(options.host));
    return routes?.find((route) => path.startsWith(route.pathPrefix));
  }

  findService(name: string): RoutedService | undefined {
    return this.services.get(name);
  }

  /** The most urgent priority of the routes to a service; 0 if there is none. */
  topPriorityOf(service: string): number {
    return this.topPriorities.get(service) ?? 0;
  }

  /** Finds the account of a key. */
  findAccount(key: string): AccountKeys | undefined {
    return this.accountByKey.get(key);
  }

  /** Finds an account by its name. */
  findAccountNamed(clientAccount: string): AccountKeys | undefined {
    return this.accountByName.get(clientAccount);
  }

  /** Returns whether requests on a route need a key. */
  requiresKey(route: Route): boolean {
    return this.hasAccounts && !route.isPublic;
  }

  private addRoute(route: Route): void {
    const host = hostName(route.host);
    const routes = this.routesByHost.get(host) ?? [];
    routes.push(route);
    this.routesByHost.set(host, routes);
    for (const {service} of route.shares) {
      const top = this.topPriorities.get(service) ?? route.priority;
      this.topPriorities.set(service, Math.min(top, route.priority));
    }
  }
}

/**
 * Picks the service of a request at random, by the weights of a route. Returns
 * undefined if the route has no services.
 *
 * @example
 * const service = pickService({route, draw: random.float()});
 */
export function pickService(options: {
  route: Route;
  /** A random number in [0, 1). */
  draw: number;
}): string | undefined {
  const {shares} = options.route;
  const total = shares.reduce((sum, share) => sum + share.weight, 0);
  let remaining = options.draw * total;
  for (const share of shares) {
    remaining -= share.weight;
    if (remaining < 0) return share.service;
  }
  return shares.at(-1)?.service;
}

function hostName(host: string): string {
  const colon = host.lastIndexOf(':');
  const name = colon < 0 ? host : host.slice(0, colon);
  return name.toLowerCase();
}

function withoutQuery(path: string): string {
  const mark = path.indexOf('?');
  return mark < 0 ? path : path.slice(0, mark);
}

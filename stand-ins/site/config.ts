/** Configuration of a site of stand-ins, in the format of operators. */

/** Host name of all routes. */
export const HOST = 'shop.example';

/** Default API key of callers. */
export const API_KEY = 'key-of-a';

const ROUTE_TIMEOUT_MS = 3_000;

const OBJECTIVE_MS = 300;

/** Names of the services of the site. */
export enum SiteService {
  /** Handles plain calls. */
  DESK = 'desk',
  /** Has no route until the configuration moves one to it. */
  SPARE = 'spare',
  /** Model engines; handles streams. */
  WRITERS = 'writers',
}

/** Paths of the site's routes. */
export enum SitePath {
  SAFE = '/stock/1',
  UNSAFE = '/orders/1',
  STREAM = '/drafts/1',
  /** Its service is set by `SiteConfigOptions.movingTo`. */
  MOVING = '/moving/1',
}

/** Options of a site configuration. */
export interface SiteConfigOptions {
  readonly version: number;
  /** API keys of the client account; only `API_KEY` by default. */
  readonly keys?: readonly string[];
  /** API keys of a second client account; there is none by default. */
  readonly otherKeys?: readonly string[];
  /** Service of the route `SitePath.MOVING`; `DESK` by default. */
  readonly movingTo?: SiteService;
  /** Timeout of the stream route; `ROUTE_TIMEOUT_MS` by default. */
  readonly streamTimeoutMs?: number;
  /** Objective for the first event of streams; 300 ms by default. */
  readonly streamObjectiveMs?: number;
  /** Longest reservation of room at engines; none by default. */
  readonly holdMs?: number;
}

/**
 * Returns the configuration of the site.
 *
 * @example
 * store.put({kind: 'config', name: 'main', spec: siteConfig({version: 1})});
 */
export function siteConfig(options: SiteConfigOptions) {
  const {version, keys = [API_KEY], movingTo = SiteService.DESK} = options;
  const {otherKeys} = options;
  const {streamTimeoutMs = ROUTE_TIMEOUT_MS, holdMs} = options;
  const {streamObjectiveMs = OBJECTIVE_MS} = options;
  const common = {timeout_ms: ROUTE_TIMEOUT_MS, stream_resume: false};
  const {DESK, SPARE, WRITERS} = SiteService;
  return {
    version,
    routes: [
      {path: '/stock/', type: 'safe', service: DESK, attempts: 2, ...common},
      {path: '/orders/', type: 'unsafe', service: DESK, attempts: 1, ...common},
      {
        path: '/drafts/',
        type: 'streaming',
        service: WRITERS,
        attempts: 5,
        timeout_ms: streamTimeoutMs,
        target_latency_ms: streamObjectiveMs,
        stream_resume: true,
      },
      {
        path: '/moving/',
        type: 'safe',
        service: movingTo,
        attempts: 2,
        ...common,
      },
    ].map(({path, type, attempts, ...route}) => ({
      name: path,
      hostname: HOST,
      path_prefix: path,
      route_type: type,
      target_latency_ms: OBJECTIVE_MS,
      priority: 1,
      max_attempts: attempts,
      public: false,
      itl_target_ms: 700,
      ...route,
    })),
    services: [
      {name: DESK, health_check: '/healthz', max_connections: 20},
      {
        name: WRITERS,
        health_check: '/healthz',
        max_connections: 20,
        engine: {
          slots: 8,
          kv_capacity_tokens: 55_000,
          backups: true,
          hold_ms: holdMs,
        },
      },
      {name: SPARE, health_check: '/healthz', max_connections: 20},
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 100_000,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [
      {name: 'account-a', api_keys: keys},
      ...(otherKeys ? [{name: 'account-b', api_keys: otherKeys}] : []),
    ],
  };
}

/** Configuration of the replayed site, in the format of operators. */
import {HOST} from '../../stand-ins/site/config.js';
import {
  CALL_DEADLINE_MS,
  MAX_BODY_BYTES,
  STREAM_DEADLINE_MS,
} from './consts.js';

/** Services of the site. */
export enum ReplayService {
  ENGINES = 'engines',
  PLAIN = 'plain',
}

/** Paths of the site's routes. */
export enum ReplayPath {
  STREAM = '/drafts/1',
  UNSAFE = '/orders/1',
  SAFE = '/stock/1',
}

const ACCOUNTS = 10;

/** Routes that get no requests. */
const IDLE_ROUTES = 8;

const ENGINE_SETTINGS = {
  ...{slots: 64, kv_capacity_tokens: 55_000, kv_bytes: 163_840},
  ...{link_mbps: 130_000, moves: true, backups: true, stride: 6, most: 12},
  ...{pin_ms: 4_000, hold_ms: 2_000, handle_ttl_s: 4, models: [{name: 'm'}]},
};

/** Key of a client account. */
export function keyOfAccount(index: number): string {
  return `key-${index % ACCOUNTS}`;
}

/** Options of a configuration. */
export interface ReplayConfigOptions {
  readonly version: number;
  /** Number of unused routes beside the usual ones, to make it large. */
  readonly extraRoutes?: number;
}

/**
 * Returns a configuration; versions differ in a timeout and in an unused key.
 *
 * @example
 * store.put({kind: 'config', name: 'main', spec: replayConfig({version: 1})});
 */
export function replayConfig(options: ReplayConfigOptions) {
  const {version, extraRoutes = 0} = options;
  const accounts = Array.from({length: ACCOUNTS}, (_, index) => ({
    name: `account-${index}`,
    priority: 1,
    api_keys: [keyOfAccount(index), `unused-${version}-${index}`],
  }));
  return {
    version,
    routes: [...usedRoutes(version), ...idleRoutes(IDLE_ROUTES + extraRoutes)],
    services: [
      {
        ...{name: ReplayService.ENGINES, max_connections: 360},
        ...{health_check: '/healthz', engine: ENGINE_SETTINGS},
      },
      {
        ...{name: ReplayService.PLAIN, max_connections: 100},
        health_check: '/healthz',
      },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: MAX_BODY_BYTES,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: accounts,
  };
}

const COMMON = {hostname: HOST, priority: 1, public: false};

function usedRoutes(version: number) {
  const plain = {
    ...COMMON,
    service: ReplayService.PLAIN,
    target_latency_ms: 300,
    timeout_ms: version % 2 === 0 ? CALL_DEADLINE_MS : 800,
  };
  return [
    {
      ...{...COMMON, name: 'drafts', path_prefix: '/drafts/'},
      ...{route_type: 'streaming', service: ReplayService.ENGINES},
      ...{target_latency_ms: 4_500, timeout_ms: STREAM_DEADLINE_MS},
      ...{max_attempts: 5, stream_resume: true, itl_target_ms: 700},
    },
    {
      ...{...plain, name: 'orders', path_prefix: '/orders/'},
      ...{route_type: 'unsafe', max_attempts: 1},
    },
    {
      ...{...plain, name: 'stock', path_prefix: '/stock/'},
      ...{route_type: 'safe', max_attempts: 2},
    },
  ];
}

function idleRoutes(count: number) {
  return Array.from({length: count}, (_, index) => ({
    ...{...COMMON, name: `idle-${index}`, path_prefix: `/idle/${index}/`},
    ...{route_type: 'safe', service: ReplayService.PLAIN, timeout_ms: 800},
    ...{target_latency_ms: 300, max_attempts: 2},
  }));
}

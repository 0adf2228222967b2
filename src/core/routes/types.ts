/** Types of a routing configuration: routes, services, limits and accounts. */

/** Kinds of operations, by whether they can be retried. */
export enum OperationKind {
  /** Idempotent: may run more than once. */
  SAFE = 'safe',
  /** Runs at most once for each request. */
  UNSAFE = 'unsafe',
  /** A stream of events with increasing ids. */
  STREAM = 'stream',
}

/** One of the services to which a route distributes its requests. */
export interface RouteShare {
  readonly service: string;
  /** Weight relative to the other shares of the route. */
  readonly weight: number;
}

/** How requests to one host and path prefix are handled. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly operation: OperationKind;
  readonly shares: readonly RouteShare[];
  /** Timeout of a request, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective for a response, or for the first event of a stream. */
  readonly latencyObjectiveMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Maximum number of targets to which one request is sent. */
  readonly maxAttempts: number;
  /** Whether callers need no key. */
  readonly isPublic: boolean;
  /** Whether another target may resume a stream after its last event. */
  readonly isResumable: boolean;
  /** Objective for the longest pause between two events of a stream. */
  readonly maxPauseMs?: number;
}

/** Properties of the model engines of a service. */
export interface EngineProfile {
  /** Number of requests that an engine processes concurrently. */
  readonly slots: number;
  /** Capacity of the KV cache of an engine, in tokens. */
  readonly kvCapacityTokens: number;
  /** Number of tokens in one event of a stream. */
  readonly tokensPerEvent: number;
  /**
   * Whether an engine can copy the KV cache of a running generation to another
   * engine.
   */
  readonly canCopy: boolean;
  /** Time for which the KV cache copy of a lost generation is kept. */
  readonly copyLifetimeMs: number;
  /**
   * Longest time for which an engine reserves room for a generation, in
   * milliseconds; undefined if engines make no reservations.
   */
  readonly holdMs?: number;
}

/** A service that is provided by targets. */
export interface RoutedService {
  readonly name: string;
  /** Path of the health check of its targets. */
  readonly healthPath: string;
  /** Maximum number of connections to one target, from all callers. */
  readonly maxConnections: number;
  /** Present for services of model engines. */
  readonly engine?: EngineProfile;
}

/** Size limits and timeouts for requests of callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Time within which the headers of a request must arrive. */
  readonly headerTimeoutMs: number;
  /** Time for which a connection without a request is kept open. */
  readonly idleTimeoutMs: number;
}

/** The keys of one client account. */
export interface AccountKeys {
  readonly clientAccount: string;
  readonly keys: readonly string[];
  /** Overrides the priority of the route; 0 is the most urgent. */
  readonly priority?: number;
}

/** A complete accepted configuration. */
export interface RoutingConfig {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly RoutedService[];
  readonly limits: CallerLimits;
  /** Undefined if no request needs a key. */
  readonly accounts?: readonly AccountKeys[];
}

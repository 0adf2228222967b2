/** Shapes of a routing configuration: what may be called, by whom, and where. */

/** What may be repeated of an operation. */
export enum OperationKind {
  /** Idempotent: may run more than once. */
  SAFE = 'safe',
  /** Runs at most once for each request. */
  UNSAFE = 'unsafe',
  /** A stream of events with rising ids. */
  STREAM = 'stream',
}

/** One of the services among which a route divides its requests. */
export interface RouteShare {
  readonly service: string;
  /** Relative to the other shares of the route. */
  readonly weight: number;
}

/** Requests of one host below one path, and how they are treated. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly operation: OperationKind;
  readonly shares: readonly RouteShare[];
  /** Longest time in which a request is worked on. */
  readonly timeoutMs: number;
  /** Time within which an answer, or its first event, is on time. */
  readonly latencyObjectiveMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Targets to which one request may be sent. */
  readonly maxAttempts: number;
  /** Whether callers need no key. */
  readonly isPublic: boolean;
  /** Whether another target may continue a stream after its last event. */
  readonly isResumable: boolean;
  /** Longest pause between two events of a stream that is on time. */
  readonly maxPauseMs?: number;
}

/** What is known of the model engines of a service. */
export interface EngineProfile {
  /** Requests that an engine works on at once. */
  readonly slots: number;
  /** Tokens that an engine's memory holds. */
  readonly kvCapacityTokens: number;
  /** Tokens in one event of a stream. */
  readonly tokensPerEvent: number;
  /** Whether an engine copies a run's memory to another while it runs. */
  readonly canCopy: boolean;
  /** Time for which the copy of a lost run is kept. */
  readonly copyLifetimeMs: number;
}

/** A service that targets offer. */
export interface RoutedService {
  readonly name: string;
  /** Path of the targets' own health check. */
  readonly healthPath: string;
  /** Connections that one target takes, from all callers together. */
  readonly maxConnections: number;
  /** Present for services of model engines. */
  readonly engine?: EngineProfile;
}

/** What callers may send and how long they may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** The keys of one client account. */
export interface AccountKeys {
  readonly clientAccount: string;
  readonly keys: readonly string[];
  /** Overrides the priority of routes; 0 is the most urgent. */
  readonly priority?: number;
}

/** A whole configuration, as it was accepted. */
export interface RoutingConfig {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly RoutedService[];
  readonly limits: CallerLimits;
  /** Undefined where no request needs a key. */
  readonly accounts?: readonly AccountKeys[];
}

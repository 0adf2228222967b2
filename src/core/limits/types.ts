/** Types of permits to send requests to a target that names a limit. */

/** A limit as some entry heard it from its target. */
export interface HeardLimit {
  /**
   * Requests a second from all entries together; undefined if the target names
   * no limit.
   */
  readonly perSecond?: number;
  /** When it was heard, on the monotonic clock. */
  readonly heardAtMs: number;
}

/** What is asked of the pool of a target's permits. */
export enum PermitNeed {
  /** The request can also go to another target. */
  OPTIONAL = 'optional',
  /** Without a permit the request is refused. */
  REQUIRED = 'required',
  /** The request is sent in any case. */
  FORCED = 'forced',
  /** Nothing: only the limit is told. */
  NONE = 'none',
}

/** A question for a permit to send one request to a target. */
export interface PermitQuery {
  /** Incarnation of the target. */
  readonly target: string;
  readonly limit: HeardLimit;
  readonly need: PermitNeed;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly clientAccount: string;
}

/** The answer to a `PermitQuery`. */
export interface PermitAnswer {
  readonly isGranted: boolean;
  /** Time until a permit can be had, in milliseconds; 0 if it is granted. */
  readonly retryAfterMs: number;
  /** The newest limit that the pool has heard. */
  readonly limit: HeardLimit;
}

/** The other entries with which this one shares limits. */
export interface PermitPeers {
  /** VMs of all entries; undefined while they are not known. */
  readonly entries?: readonly string[];
  /** Whether another entry grants the permits of this one. */
  readonly hasGranter: boolean;
  /** VMs of the entries whose permits this one grants, without itself. */
  members(): readonly string[];
  /** Asks the granter; undefined if it does not answer in time. */
  askPermit(query: PermitQuery): Promise<PermitAnswer | undefined>;
  /** Sets the function that answers the questions of members. */
  servePermits(grant: (query: PermitQuery) => PermitAnswer): void;
}

/** Settings of an entry that calls its targets directly. */

/** An address on which a process listens. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Bounds the repeats of all entries together. */
export interface RetryBudgetSettings {
  /** Repeats allowed for each request. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Repeats in a window that are allowed beyond the ratio. */
  readonly slack: number;
}

/** What a direct entry is told when it starts. */
export interface DirectSettings {
  /** Name of this VM. */
  readonly vm: string;
  /** IP number of this VM. */
  readonly address: string;
  readonly dataCentre: string;
  readonly callers: ListenAddress;
  readonly readiness: ListenAddress;
  readonly storeUrl: string;
  /** Time between the signal to stop and the forced end. */
  readonly shutdownGraceMs: number;
  /** Time after which a target that leaves must get no new work. */
  readonly targetDrainMs: number;
  /** Time after which a key that was taken away must not serve any more. */
  readonly keyRevocationMs?: number;
  readonly retryBudget: RetryBudgetSettings;
}

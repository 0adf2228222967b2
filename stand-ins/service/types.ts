/** Types of the plain service stand-in. */

/** Options of a service. */
export interface ServiceOptions {
  readonly address: string;
  readonly port: number;
  /** Duration of each call, in milliseconds. */
  readonly delayMs: number;
  /** Maximum number of concurrent calls; further calls are queued. */
  readonly capacity: number;
  /** Base URL of the ledger; empty to count only in this process. */
  readonly ledgerUrl: string;
  /** Limit that its responses to calls name; -1 for none. */
  readonly limitPerSecond: number;
  /** Ends the process. */
  readonly exit: () => void;
}

/** Faults that can be set with `POST /faults`. */
export enum ServiceFault {
  NONE = 'none',
  /** Exits without a response. */
  DIE = 'die',
  /** Exits during the next booking, before it is counted. */
  DIE_BEFORE_EFFECT = 'die_before_effect',
  /** Exits during the next booking, after it is counted. */
  DIE_AFTER_EFFECT = 'die_after_effect',
  /** Queues calls without starting them and responds to no probe. */
  STALL = 'stall',
  /** Multiplies the duration of calls by `factor`. */
  SLOW = 'slow',
  /** Responds 500 to calls without executing them. */
  FAIL_FAST = 'fail_fast',
}

/** Shapes of the plain service. */

/** How a service behaves. */
export interface ServiceOptions {
  readonly address: string;
  readonly port: number;
  readonly delayMs: number;
  /** Calls that run at once; more wait. */
  readonly capacity: number;
  /** Base URL of the ledger; empty to count in the process. */
  readonly ledgerUrl: string;
  /** Ends the process. */
  readonly exit: () => void;
}

/** Faults that tests order. */
export enum ServiceFault {
  NONE = 'none',
  DIE = 'die',
  /** Exits in the next booking, before it is counted. */
  DIE_BEFORE_EFFECT = 'die_before_effect',
  /** Exits in the next booking, after it is counted. */
  DIE_AFTER_EFFECT = 'die_after_effect',
  STALL = 'stall',
  SLOW = 'slow',
  FAIL_FAST = 'fail_fast',
}

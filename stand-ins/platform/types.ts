/** Types of the platform stand-in. */

/** Options of the platform; times in milliseconds. */
export interface PlatformOptions {
  readonly address: string;
  readonly port: number;
  /** Delay before a change of the VM list becomes visible. */
  readonly vmLagMs: number;
  /** Delay before each API call is carried out. */
  readonly latencyMs: number;
  /** Maximum number of logged changes per kind. */
  readonly logLength: number;
  /** Interval between keep-alive lines of a watch. */
  readonly keepAliveMs: number;
}

/** Faults that can be set with `POST /faults`. */
export enum PlatformFault {
  OK = 'ok',
  /** Closes all watches and responds 503, optionally only for one kind. */
  DOWN = 'down',
  /** Delays each call by `delayMs`. */
  SLOW = 'slow',
  /** Carries out writes and closes the connection without a response. */
  LOSE_WRITE_RESPONSE = 'lose_write_answer',
  /** Responds 503 to writes without carrying them out. */
  FAIL_BEFORE_EFFECT = 'fail_before_effect',
  /** Holds writes of one kind back until `count` of them have arrived. */
  HOLD_WRITES = 'hold_writes',
}

/** Operation of an API call. */
export enum Verb {
  CREATE = 'create',
  UPDATE = 'update',
  DELETE = 'delete',
  GET = 'get',
  LIST = 'list',
  WATCH = 'watch',
}

/** A versioned object. */
export interface PlatformObject {
  readonly kind: string;
  readonly name: string;
  readonly version: number;
  readonly value: unknown;
}

/** A change of an object; a deletion has no value. */
export type Change = Omit<PlatformObject, 'value'> & {readonly value?: unknown};

/** Number of calls of a verb on a kind. */
export interface CallCount {
  readonly kind: string;
  readonly verb: Verb;
  count: number;
}

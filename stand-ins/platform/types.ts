/** Shapes of the platform. */

/** How the platform behaves. */
export interface PlatformOptions {
  readonly address: string;
  readonly port: number;
  /** Age of the VM list that callers see. */
  readonly vmLagMs: number;
  /** Time before each call of the object API is carried out. */
  readonly latencyMs: number;
  /** Changes of one kind that a watch can go back. */
  readonly logLength: number;
  /** Time between the blank lines of a watch. */
  readonly keepAliveMs: number;
}

/** Faults that tests order. */
export enum PlatformFault {
  OK = 'ok',
  DOWN = 'down',
  SLOW = 'slow',
  LOSE_WRITE_RESPONSE = 'lose_write_answer',
  FAIL_BEFORE_EFFECT = 'fail_before_effect',
}

/** What a call does. */
export enum Verb {
  CREATE = 'create',
  UPDATE = 'update',
  DELETE = 'delete',
  GET = 'get',
  LIST = 'list',
  WATCH = 'watch',
}

/** An object. */
export interface PlatformObject {
  readonly kind: string;
  readonly name: string;
  readonly version: number;
  readonly value: unknown;
}

/** One change; a deletion has no value. */
export type Change = Omit<PlatformObject, 'value'> & {readonly value?: unknown};

/** How often a verb was called on a kind. */
export interface CallCount {
  readonly kind: string;
  readonly verb: Verb;
  count: number;
}

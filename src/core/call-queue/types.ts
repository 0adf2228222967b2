/** Types of the queue of plain calls. */

/** A call that asks to be sent, with its times on the monotonic clock in ms. */
export interface QueuedCall {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Time until which its response is on time. */
  readonly objectiveAtMs: number;
  /** Time after which its caller no longer waits. */
  readonly deadlineAtMs: number;
  /** Calls of the same priority are shared out among these accounts. */
  readonly clientAccount?: string;
}

/** Room at the targets of a service, as one entry estimates it. */
export interface Room {
  /** Whether a target is expected to have a free slot. */
  readonly hasFreeSlot: boolean;
  /** Expected wait for a slot at the best target, in milliseconds. */
  readonly waitMs: number;
  /** Expected service time at the best target, in milliseconds. */
  readonly serviceMs: number;
  /** Time between two calls that end at the targets together, in ms. */
  readonly intervalMs: number;
  /** Whether each target has just rejected a request. */
  readonly isFull: boolean;
}

/** A call that was held back, or may be by now. */
export interface HeldCall {
  /** Whether its body counts towards what a target may hold. */
  readonly isLarge: boolean;
  /** Whether no target may be sent it now, though there are some. */
  readonly isHeldBack: () => boolean;
}

/** What to do with a call now. */
export enum CallDecision {
  SEND = 'send',
  WAIT = 'wait',
  REFUSE = 'refuse',
}

/** What a queue would do with a call now. */
export interface CallPreview {
  readonly decision: CallDecision;
  /** Waiting calls that are sent before it. */
  readonly before: number;
  /** Expected wait for a slot, in milliseconds. */
  readonly waitMs: number;
  /** Retry-After before its random part if it is refused, in milliseconds. */
  readonly retryAfterMs: number;
}

/** Types of registered targets. */

/** Registration of a target. */
export interface TargetRecord {
  readonly id: string;
  readonly service: string;
  /** IP:PORT. */
  readonly address: string;
  readonly dataCentre: string;
  /** Number of requests that it can run concurrently. */
  readonly slots: number;
  /** It finishes its work and takes no new work. */
  readonly isDraining: boolean;
  /** Unix time of its start, in milliseconds; differs after a restart. */
  readonly startedAtMs?: number;
  /** Number of times that this incarnation has written its registration. */
  readonly writeCount?: number;
  /** Version of its software; undefined if it names none. */
  readonly version?: string;
  /** Whether it is slow, as it has just started. */
  readonly isWarmingUp?: boolean;
}

/** Load report of a target. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  /** Requests that it can run at once; undefined if not reported. */
  readonly slots?: number;
  /**
   * Time that work takes on its VM now, relative to the usual time: 2 if it
   * takes twice as long; undefined if not reported.
   */
  readonly slowness?: number;
  /** Number of running requests in prefill; undefined if not reported. */
  readonly prefilling?: number;
  /**
   * Tokens in the KV cache that cannot be evicted; undefined if not reported.
   */
  readonly kvUsedTokens?: number;
  /** Start of the reporting incarnation, as a Unix time in milliseconds. */
  readonly startedAtMs?: number;
  /**
   * Attempt ids of the requests that have generated tokens; undefined if not
   * reported.
   */
  readonly generatingIds?: readonly string[];
  /** Whether the target leaves and must get no new work. */
  readonly isLeaving?: boolean;
  /** Requests a second that it takes; undefined if it names no limit here. */
  readonly limitPerSecond?: number;
}

/** Work that this entry sent to a target. */
export interface TargetWork {
  /** Tokens in the KV cache at the end of the work; 0 for a call. */
  readonly tokens: number;
  readonly startedAtMs: number;
  /** Whether the prefill of the prompt has not finished. */
  isPrefilling: boolean;
}

/**
 * Returns the id of an incarnation of a target; a restart under the same
 * target id is another incarnation.
 *
 * @example
 * incarnationOf({id: 'i-7', startedAtMs: 1000, ...rest}); // 'i-7@1000'
 */
export function incarnationOf({id, startedAtMs = 0}: TargetRecord): string {
  return `${id}@${startedAtMs}`;
}

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

/** Shapes of registered targets. */

/** A target as it registered itself. */
export interface TargetRecord {
  readonly id: string;
  readonly service: string;
  /** IP:PORT. */
  readonly address: string;
  readonly dataCentre: string;
  /** Requests that it works on at once. */
  readonly slots: number;
  /** It finishes its work and takes no more. */
  readonly isDraining: boolean;
  /** Unix milliseconds of its start: tells a restart under the same id. */
  readonly startedAtMs?: number;
}

/**
 * Names one life of a target: a restart under the same id is another.
 *
 * @example
 * lifeOf({id: 'i-7', bornMs: 1000, ...rest}); // 'i-7@1000'
 */
export function incarnationOf({
  id,
  startedAtMs: bornMs = 0,
}: TargetRecord): string {
  return `${id}@${bornMs}`;
}

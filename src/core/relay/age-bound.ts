/** How old the objects of a kind may be when another entry passes them on. */

/** What bounds the age of a kind's objects. */
export enum AgeBound {
  /** The time within which a changed configuration must be applied. */
  CONFIG_APPLY = 'config_apply',
  /** The time after which a draining target gets no new work. */
  TARGET_DRAIN = 'target_drain',
  NONE = 'none',
}

/** The times that bound ages, in milliseconds. */
export interface AgeLimits {
  readonly configApplyMs: number;
  readonly targetDrainMs: number;
}

/**
 * Share of a bound for which a reader waits at the store. Only at the end of the
 * wait do it and its followers notice that it is cut off, and these must then
 * still read the store themselves.
 */
const WAIT_SHARE = 0.25;

/**
 * Returns the longest wait at the store for a kind that others follow, in
 * milliseconds.
 *
 * @example
 * // 500
 * longestWaitMs(AgeBound.TARGET_DRAIN, {configApplyMs: 4_000, targetDrainMs: 2_000});
 */
export function longestWaitMs(bound: AgeBound, limits: AgeLimits): number {
  switch (bound) {
    case AgeBound.CONFIG_APPLY:
      return limits.configApplyMs * WAIT_SHARE;
    case AgeBound.TARGET_DRAIN:
      return limits.targetDrainMs * WAIT_SHARE;
    case AgeBound.NONE:
      return Number.POSITIVE_INFINITY;
  }
}

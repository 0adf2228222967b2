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

/** Share of a bound for which an entry waits for an answer of its reader. */
const ASK_SHARE = 0.5;

/** The longest waits for a kind that entries read through each other. */
export interface RelayWaits {
  /** Of a reader at the store, in milliseconds. */
  readonly storeMs: number;
  /** Of an entry at its reader, in milliseconds. */
  readonly askMs: number;
}

/**
 * Returns the longest waits for a kind, which are infinite if its age has no
 * bound.
 *
 * @example
 * // {storeMs: 500, askMs: 1_000}
 * longestWaits(AgeBound.TARGET_DRAIN, {configApplyMs: 4_000, targetDrainMs: 2_000});
 */
export function longestWaits(bound: AgeBound, limits: AgeLimits): RelayWaits {
  const boundMs = boundOf(bound, limits);
  return {storeMs: boundMs * WAIT_SHARE, askMs: boundMs * ASK_SHARE};
}

function boundOf(bound: AgeBound, limits: AgeLimits): number {
  switch (bound) {
    case AgeBound.CONFIG_APPLY:
      return limits.configApplyMs;
    case AgeBound.TARGET_DRAIN:
      return limits.targetDrainMs;
    case AgeBound.NONE:
      return Number.POSITIVE_INFINITY;
  }
}

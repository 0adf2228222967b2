/** Finds out which of several requests caused the crash of an engine. */

/** A request that runs in an engine, or ran in it when it crashed. */
export interface Suspect {
  readonly id: string;
  /** Ids of earlier crashes in which the request was running. */
  readonly crashes: readonly string[];
}

/**
 * Returns the ids of the suspects that caused a crash: each is the only one of
 * the suspects that was also running in some earlier crash. It is then the only
 * request that the two crashes have in common.
 *
 * @example
 * // ['a']
 * findCrashCauses([{id: 'a', crashes: ['c1']}, {id: 'b', crashes: []}]);
 */
export function findCrashCauses(suspects: readonly Suspect[]): string[] {
  const counts = new Map<string, number>();
  for (const {crashes} of suspects) {
    for (const crash of new Set(crashes)) {
      counts.set(crash, (counts.get(crash) ?? 0) + 1);
    }
  }
  return suspects
    .filter(({crashes}) => crashes.some((crash) => counts.get(crash) === 1))
    .map(({id}) => id);
}

/**
 * Returns whether a request may run in the same engine as others, which
 * requires that it has no earlier crash in common with any of them.
 *
 * @example
 * // false
 * sharesNoCrash({crashes: ['c1'], others: [{id: 'b', crashes: ['c1']}]});
 */
export function sharesNoCrash(options: {
  crashes: readonly string[];
  others: readonly Suspect[];
}): boolean {
  const {crashes, others} = options;
  const own = new Set(crashes);
  return !others.some((other) => other.crashes.some((c) => own.has(c)));
}

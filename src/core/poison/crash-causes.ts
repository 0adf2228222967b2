/** Which request of several caused an engine's crash. */

/** A request that ran in an engine, with the crashes it was in before. */
export interface Suspect {
  readonly id: string;
  readonly crashes: readonly string[];
}

/**
 * Returns the ids of those suspects of a crash that are also in an earlier
 * crash, and in it alone of all that ran now. Two crashes have such a
 * request and no other in common.
 *
 * @example
 * findCulprits([{id: 'a', crashes: ['c1']}, {id: 'b', crashes: []}]);
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
 * Whether a request may run beside others: none of them may have been in a
 * crash with it.
 *
 * @example
 * isApart({crashes: ['c1'], beside: [{id: 'b', crashes: ['c1']}]});
 */
export function sharesNoCrash(options: {
  crashes: readonly string[];
  others: readonly Suspect[];
}): boolean {
  const {crashes, others: beside} = options;
  const own = new Set(crashes);
  return !beside.some((other) => other.crashes.some((c) => own.has(c)));
}

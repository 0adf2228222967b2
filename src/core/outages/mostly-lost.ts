/** Finds data centres that have lost most of their targets. */

/** Share of lost targets from which a data centre counts as mostly lost. */
const MOSTLY = 0.5;

/** Targets of a data centre from which the share counts. */
const MIN_TARGETS = 4;

/** What is used of a target. */
interface Located {
  readonly record: {readonly dataCentre: string};
}

/**
 * Returns the data centres most of whose targets are lost, as far as is known.
 * The few that are left look idle to all entries at once, but can't take what
 * the others had.
 *
 * @example
 * mostlyLost({targets, isLost: (target) => target.isPaused()}).has('a');
 */
export function mostlyLost<T extends Located>(options: {
  targets: readonly T[];
  isLost: (target: T) => boolean;
}): Set<string> {
  const counts = new Map<string, {all: number; lost: number}>();
  for (const target of options.targets) {
    const {dataCentre} = target.record;
    const count = counts.get(dataCentre) ?? {all: 0, lost: 0};
    count.all++;
    if (options.isLost(target)) count.lost++;
    counts.set(dataCentre, count);
  }
  const found = [...counts].filter(
    ([, {all, lost}]) => all >= MIN_TARGETS && lost > all * MOSTLY,
  );
  return new Set(found.map(([dataCentre]) => dataCentre));
}

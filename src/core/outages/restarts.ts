/** Finds outages of data centres by the starts of their targets. */
import {
  MIN_RESTARTED,
  MIN_RESTARTED_SHARE,
  RESTART_WINDOW_MS,
} from './consts.js';
import type {Outage, StartedTarget} from './types.js';

/**
 * Returns the last time in each data centre at which many of its targets started
 * together. Targets that started one after the other, as in a roll-out, don't
 * count. Every entry reads the same registrations, so all of them find the same.
 *
 * @example
 * lastRestarts([{dataCentre: 'a', startedAtMs: 1_700_000_000_000}]);
 */
export function lastRestarts(targets: Iterable<StartedTarget>): Outage[] {
  const outages: Outage[] = [];
  for (const [dataCentre, startsMs] of startsByDataCentre(targets)) {
    const restartedAtMs = lastRestartOf(startsMs);
    if (restartedAtMs !== undefined) outages.push({dataCentre, restartedAtMs});
  }
  return outages;
}

function startsByDataCentre(
  targets: Iterable<StartedTarget>,
): Map<string, number[]> {
  const starts = new Map<string, number[]>();
  for (const {dataCentre, startedAtMs} of targets) {
    const ofDataCentre = starts.get(dataCentre) ?? [];
    ofDataCentre.push(startedAtMs ?? Number.NEGATIVE_INFINITY);
    starts.set(dataCentre, ofDataCentre);
  }
  return starts;
}

function lastRestartOf(startsMs: readonly number[]): number | undefined {
  const least = Math.max(MIN_RESTARTED, startsMs.length * MIN_RESTARTED_SHARE);
  const sorted = [...startsMs].sort((a, b) => b - a);
  const needed = Math.ceil(least) - 1;
  // The first of them may have started up to a window before the last.
  const last = sorted.findIndex((startMs, i) => {
    const earlierMs = sorted[i + needed] ?? Number.NEGATIVE_INFINITY;
    return startMs - earlierMs <= RESTART_WINDOW_MS;
  });
  return last < 0 ? undefined : sorted[last + needed];
}

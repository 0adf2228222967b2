/** Foresees outages that come to one data centre after the other. */
import type {Clock} from '../clock/index.js';
import {
  MAX_OUTAGES,
  MIN_TURN_SHARE,
  OUTAGE_MEMORY_MS,
  RESTART_WINDOW_MS,
} from './consts.js';
import type {Outage} from './types.js';

/** An outage with the time at which it was found, on the monotonic clock. */
interface SeenOutage extends Outage {
  readonly seenMs: number;
}

/**
 * Remembers the last outages of the data centres of one service. If they came by
 * turns, each time to the one that was spared longest, the next one is expected
 * there, and the data centre that was lost last is the safest for now.
 *
 * @example
 * turns.record([{dataCentre: 'a', restartedAtMs: 5_000}]);
 * turns.riskOf(['a', 'b', 'c']).get('b');
 */
export class OutageTurns {
  private outages: SeenOutage[] = [];
  /** The last restart of each data centre that was taken. */
  private readonly knownMs = new Map<string, number>();

  constructor(private readonly options: {clock: Clock}) {}

  /** Takes the last restarts of all data centres, as often as wanted. */
  record(restarts: readonly Outage[]): void {
    const seenMs = this.options.clock.now();
    const newestMs = Math.max(...restarts.map((o) => o.restartedAtMs));
    const sorted = [...restarts].sort(
      (a, b) => a.restartedAtMs - b.restartedAtMs,
    );
    for (const outage of sorted) {
      const {dataCentre, restartedAtMs} = outage;
      const knownMs = this.knownMs.get(dataCentre) ?? Number.NEGATIVE_INFINITY;
      if (restartedAtMs - knownMs <= RESTART_WINDOW_MS) continue;
      this.knownMs.set(dataCentre, restartedAtMs);
      const isOld = newestMs - restartedAtMs > OUTAGE_MEMORY_MS;
      if (!isOld && !hasTwin(outage, restarts))
        this.outages.push({...outage, seenMs});
    }
    this.outages = this.outages
      .filter((outage) => seenMs - outage.seenMs <= OUTAGE_MEMORY_MS)
      .slice(-MAX_OUTAGES);
  }

  /**
   * The risk of each data centre from 0, the one lost last, to 1, the one that
   * was spared longest; empty if outages don't come by turns.
   */
  riskOf(dataCentres: readonly string[]): ReadonlyMap<string, number> {
    const risks = new Map<string, number>();
    if (dataCentres.length < 2 || !this.comesByTurns(dataCentres)) return risks;
    const ranked = rankBySpared(dataCentres, this.outages);
    ranked.forEach((dataCentre, i) =>
      risks.set(dataCentre, 1 - i / (ranked.length - 1)),
    );
    return risks;
  }

  /** Whether most outages came to the data centre that was spared longest. */
  private comesByTurns(dataCentres: readonly string[]): boolean {
    const {outages} = this;
    const later = outages.slice(1);
    const inTurn = later.filter(({dataCentre}, i) => {
      const before = outages.slice(0, i + 1);
      const spared = dataCentres.filter((dc) => !wasLost(dc, before));
      if (spared.length > 0) return spared.includes(dataCentre);
      return rankBySpared(dataCentres, before)[0] === dataCentre;
    });
    return later.length > 0 && inTurn.length >= later.length * MIN_TURN_SHARE;
  }
}

/** Whether another data centre started at the same time, as a site does. */
function hasTwin(outage: Outage, restarts: readonly Outage[]): boolean {
  return restarts.some(
    ({dataCentre, restartedAtMs}) =>
      dataCentre !== outage.dataCentre &&
      Math.abs(restartedAtMs - outage.restartedAtMs) <= RESTART_WINDOW_MS,
  );
}

function wasLost(dataCentre: string, outages: readonly Outage[]): boolean {
  return outages.some((outage) => outage.dataCentre === dataCentre);
}

/** Data centres in the order of their last outages, those without one first. */
function rankBySpared(
  dataCentres: readonly string[],
  outages: readonly Outage[],
): string[] {
  const lastOf = (dataCentre: string) =>
    outages.findLastIndex((outage) => outage.dataCentre === dataCentre);
  return [...dataCentres].sort((a, b) => lastOf(a) - lastOf(b));
}

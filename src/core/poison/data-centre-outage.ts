/** Detects targets that were lost in a data-centre outage. */
import type {Target} from '../targets/index.js';
import {incarnationOf, SAMPLE_SIZE} from '../targets/index.js';
import {SUSPECT_LOSSES} from './consts.js';

/** Targets lost in one outage are lost within this time, in milliseconds. */
const OUTAGE_WINDOW_MS = 600;

/** Minimum share of the other targets that are lost in an outage. */
const MIN_LOST_SHARE = 0.75;

/** Minimum number of other targets that are lost in an outage. */
const MIN_LOST = 1;

/**
 * The same for a request that may have crashed several targets, as another
 * entry may have lost the only other target to the same request.
 */
const MIN_LOST_FOR_SUSPECT = 2;

/**
 * Number of other targets beyond which only those count that were lost or have
 * responded since, as not all of so many are probed.
 */
const MAX_ALL_CONSIDERED = SAMPLE_SIZE;

/** Minimum number of other targets that are lost, if there are that many. */
const MIN_LOST_OF_MANY = 4;

/** A lost target, and what decides whether its data centre has failed. */
export interface OutageQuery {
  readonly lost: Target;
  /** When it was lost, on the clock of this process. */
  readonly lostAtMs: number;
  /** All known targets, including the lost one. */
  readonly targets: Iterable<Target>;
  /** Target incarnations that the request may have crashed before. */
  readonly crashedBefore: ReadonlySet<string>;
}

/**
 * Returns whether most other targets of a lost target's data centre were lost
 * at the same time. If any of them provide the same service, only these count.
 *
 * An outage of a data centre must not count as a crash caused by the request.
 * A request that crashes several targets of one data centre, one after the
 * other, is not mistaken for an outage: the targets that it may have crashed
 * before are excluded.
 *
 * @example
 * const query = {lost, lostAtMs, targets, crashedBefore};
 * if (isDataCentreOutage(query)) ledger.recordOutage(key);
 */
export function isDataCentreOutage(query: OutageQuery): boolean {
  const {lost, lostAtMs, targets, crashedBefore} = query;
  const neighbours = [...targets].filter(
    (target) =>
      target !== lost &&
      target.record.dataCentre === lost.record.dataCentre &&
      !crashedBefore.has(incarnationOf(target.record)) &&
      wasPresent(target, lostAtMs),
  );
  const sameService = neighbours.filter(
    ({record}) => record.service === lost.record.service,
  );
  const peers = sameService.length > 0 ? sameService : neighbours;
  const areMany = peers.length > MAX_ALL_CONSIDERED;
  const considered = areMany
    ? peers.filter((target) => isWitness(target, lostAtMs))
    : peers;
  const alsoLost = considered.filter(
    (target) => target.unavailableSinceMs !== undefined,
  );
  const isSuspect = crashedBefore.size >= SUSPECT_LOSSES;
  const minLostOfFew = isSuspect ? MIN_LOST_FOR_SUSPECT : MIN_LOST;
  const minLost = areMany ? MIN_LOST_OF_MANY : minLostOfFew;
  return (
    alsoLost.length >= minLost &&
    alsoLost.length >= considered.length * MIN_LOST_SHARE
  );
}

/** Returns whether it is known what has become of a target since a loss. */
function isWitness(target: Target, lostAtMs: number): boolean {
  const isLost = target.unavailableSinceMs !== undefined;
  return isLost || target.lastSeenAtMs >= lostAtMs;
}

/** Returns whether a target was present until about the time of a loss. */
function wasPresent(
  {unavailableSinceMs, record}: Target,
  lostAtMs: number,
): boolean {
  if (unavailableSinceMs === undefined) return !record.isDraining;
  return unavailableSinceMs >= lostAtMs - OUTAGE_WINDOW_MS;
}

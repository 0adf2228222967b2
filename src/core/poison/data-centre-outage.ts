/** Whether a target was lost together with its data centre. */
import type {Target} from '../targets/index.js';
import {incarnationOf} from '../targets/index.js';

/** Targets of one data centre fall within this time, in milliseconds. */
const TOGETHER_MS = 600;

/** Share of the other targets that fall with a data centre. */
const FALLEN_SHARE = 0.75;

/** What is known of a lost target and of those around it. */
export interface OutageQuery {
  readonly lost: Target;
  readonly lostAtMs: number;
  /** All targets that are known. */
  readonly targets: Iterable<Target>;
  /** Lives that the request may have ended before it came to this one. */
  readonly crashedBefore: ReadonlySet<string>;
}

/**
 * Whether most of the targets beside a lost one went at the same time, though
 * the request cannot have ended them one after the other. Serves the load of a data centre that fails
 * with all that runs in it; a request which ends several targets of one data
 * centre, one after the other, is not taken for that.
 *
 * @example
 * if (fellTogether({lost, lostAtMs, targets, endedBefore})) dismiss();
 */
export function isDataCentreOutage(query: OutageQuery): boolean {
  const {lost, lostAtMs, targets, crashedBefore: endedBefore} = query;
  const witnesses = [...targets].filter(
    (target) =>
      target !== lost &&
      target.record.dataCentre === lost.record.dataCentre &&
      !endedBefore.has(incarnationOf(target.record)) &&
      wasThere(target, lostAtMs),
  );
  const peers = witnesses.filter(
    ({record}) => record.service === lost.record.service,
  );
  const asked = peers.length > 0 ? peers : witnesses;
  const fallen = asked.filter(
    (target) => target.unavailableSinceMs !== undefined,
  );
  return fallen.length > 0 && fallen.length >= asked.length * FALLEN_SHARE;
}

/** Whether a target was there until about the time of a loss. */
function wasThere(
  {unavailableSinceMs: lostSinceMs, record}: Target,
  lostAtMs: number,
): boolean {
  if (lostSinceMs === undefined) return !record.isDraining;
  return lostSinceMs >= lostAtMs - TOGETHER_MS;
}

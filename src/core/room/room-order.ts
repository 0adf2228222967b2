/** The order in which waiting generations get room. */
import type {RoomRequest} from './types.js';

/** A waiting generation with what its order depends on now. */
export interface RankedRequest {
  readonly request: RoomRequest;
  readonly nowMs: number;
  /** Generations of its client account that run from this entry. */
  readonly runningOfAccount: number;
}

/**
 * Latest start at which a generation's first event is still on time, and at which
 * it can still end before its deadline.
 *
 * @example
 * latestStartMs({objectiveAtMs: 4_000, firstEventMs: 1_000, ...rest}); // 3000
 */
export function latestStartMs(request: RoomRequest): number {
  const {objectiveAtMs, firstEventMs, deadlineAtMs, shortestMs} = request;
  return Math.min(objectiveAtMs - firstEventMs, deadlineAtMs - shortestMs);
}

/**
 * Compares two waiting generations: the more urgent one goes first, then the
 * one that can still be on time, then the one whose client account runs less,
 * then the one that must start earlier.
 *
 * Answers the load at which engines lack room for minutes: what costs callers
 * least waits longest, and no account waits for the flood of another.
 *
 * @example
 * waiting.sort(compareRequests);
 */
export function compareRequests(a: RankedRequest, b: RankedRequest): number {
  return (
    a.request.priority - b.request.priority ||
    Number(isLate(a)) - Number(isLate(b)) ||
    a.runningOfAccount - b.runningOfAccount ||
    latestStartMs(a.request) - latestStartMs(b.request) ||
    a.request.receivedMs - b.request.receivedMs
  );
}

function isLate({request, nowMs}: RankedRequest): boolean {
  return nowMs > latestStartMs(request);
}

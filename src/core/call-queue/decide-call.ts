/** Decides whether a plain call is sent, waits at the entry or is refused. */
import {MAX_WAIT_SHARE} from './consts.js';
import type {QueuedCall, Room} from './types.js';
import {CallDecision} from './types.js';

/** Input of `decideCall`. */
export interface CallQuery {
  readonly call: QueuedCall;
  readonly room: Room;
  /** Time since which the call waits; `nowMs` for a new one. */
  readonly waitsSinceMs: number;
  readonly nowMs: number;
  /** Whether no target may be sent it now, though there are some. */
  readonly isHeldBack?: boolean;
}

/**
 * Answers the load at which all targets of a service are full. A call is sent if
 * a slot is free or if it can still be on time in a target's queue. Any other
 * waits at the entry for a bounded time, where it leaves the room to calls that
 * can be on time, and is then refused. One that can't be answered before its
 * deadline is refused at once. While this entry itself holds a call back, it waits
 * for as long as it can be answered in time.
 *
 * @example
 * decideCall({call, room, waitsSinceMs: nowMs, nowMs}); // CallDecision.SEND
 */
export function decideCall(query: CallQuery): CallDecision {
  const {call, room, waitsSinceMs, nowMs} = query;
  const {waitMs, serviceMs, hasFreeSlot, isFull} = room;
  if (query.isHeldBack === true) {
    const isHopeless = nowMs + serviceMs > call.deadlineAtMs;
    return isHopeless ? CallDecision.REFUSE : CallDecision.WAIT;
  }
  const endsAtMs = nowMs + waitMs + serviceMs;
  // What is sent also corrects an estimate that is too high.
  if (!isFull && hasFreeSlot) return CallDecision.SEND;
  if (endsAtMs > call.deadlineAtMs) return CallDecision.REFUSE;
  const isOnTime = endsAtMs <= call.objectiveAtMs;
  if (!isFull && isOnTime) return CallDecision.SEND;
  const allowedMs = (call.deadlineAtMs - waitsSinceMs) * MAX_WAIT_SHARE;
  const isOver = nowMs >= waitsSinceMs + allowedMs;
  return isOver ? CallDecision.REFUSE : CallDecision.WAIT;
}

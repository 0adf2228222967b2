/** Decides on a generation that has found no room. */
import {SEND_MARGIN_MS} from './consts.js';
import {latestStartMs} from './room-order.js';
import type {RoomRequest} from './types.js';
import {RoomDecision} from './types.js';

/**
 * Decides whether a generation goes on waiting. One that can't end in time is
 * refused at once, also if it is known only from the queue before it. One that must
 * start now to be on time goes to an engine whether it has room or not, unless it
 * came too late for that already.
 *
 * Answers bursts of some seconds that exceed the engines' memory.
 *
 * @example
 * decideRoom({request, waitMs: 0, nowMs: clock.now()}); // RoomDecision.WAIT
 */
export function decideRoom(options: {
  request: RoomRequest;
  /** Shortest wait for room to expect, in milliseconds. */
  waitMs: number;
  nowMs: number;
}): RoomDecision {
  const {request, waitMs, nowMs} = options;
  const {deadlineAtMs, shortestMs} = request;
  if (nowMs + waitMs + shortestMs > deadlineAtMs) return RoomDecision.REFUSE;
  return nowMs >= latestStartMs(request) - SEND_MARGIN_MS
    ? RoomDecision.SEND_ANYWAY
    : RoomDecision.WAIT;
}

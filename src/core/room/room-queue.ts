/** The generations of one service that wait for room at one entry. */
import {MAX_WAITING} from './consts.js';
import {compareRequests} from './room-order.js';
import type {RoomRequest} from './types.js';

/** What the order of a queue depends on besides its requests. */
export interface QueueView {
  readonly nowMs: number;
  /** Generations of a client account that run from this entry. */
  readonly runningOf: (clientAccount: string) => number;
}

/**
 * Waiting generations, ordered anew at each look: an order by time changes while
 * they wait.
 *
 * @example
 * const queue = new RoomQueue<RoomRequest>();
 * queue.push(request);
 * queue.first({nowMs: clock.now(), runningOf: () => 0});
 */
export class RoomQueue<T extends RoomRequest> {
  private readonly waiting = new Set<T>();

  get size(): number {
    return this.waiting.size;
  }

  /** Whether more wait than may. */
  get isOverfull(): boolean {
    return this.waiting.size > MAX_WAITING;
  }

  push(request: T): void {
    this.waiting.add(request);
  }

  /** Removes a request; false if it doesn't wait. */
  remove(request: T): boolean {
    return this.waiting.delete(request);
  }

  /** All requests, the one that gets the next room first. */
  inOrder(view: QueueView): T[] {
    return [...this.waiting].sort((a, b) => compareAt(a, b, view));
  }

  /** The request that gets the next room. */
  first(view: QueueView): T | undefined {
    let first: T | undefined;
    for (const request of this.waiting) {
      if (first === undefined || compareAt(request, first, view) < 0)
        first = request;
    }
    return first;
  }

  /** The request that costs its caller least if it is turned away. */
  last(view: QueueView): T | undefined {
    let last: T | undefined;
    for (const request of this.waiting) {
      if (last === undefined || compareAt(last, request, view) <= 0)
        last = request;
    }
    return last;
  }

  /** Number of waiting requests that get room before another one. */
  countBefore(request: RoomRequest, view: QueueView): number {
    let count = 0;
    for (const other of this.waiting) {
      if (compareAt(other, request, view) < 0) count++;
    }
    return count;
  }
}

function compareAt(a: RoomRequest, b: RoomRequest, view: QueueView): number {
  const rank = (request: RoomRequest) => ({
    request,
    nowMs: view.nowMs,
    runningOfAccount: view.runningOf(request.clientAccount),
  });
  return compareRequests(rank(a), rank(b));
}

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

  get isFull(): boolean {
    return this.waiting.size >= MAX_WAITING;
  }

  push(request: T): void {
    this.waiting.add(request);
  }

  /** Removes a request; false if it doesn't wait. */
  remove(request: T): boolean {
    return this.waiting.delete(request);
  }

  all(): T[] {
    return [...this.waiting];
  }

  /** The request that gets the next room. */
  first(view: QueueView): T | undefined {
    let first: T | undefined;
    for (const request of this.waiting) {
      if (first === undefined || goesBefore(request, first, view))
        first = request;
    }
    return first;
  }

  /** Number of waiting requests that get room before another one. */
  countBefore(request: RoomRequest, view: QueueView): number {
    return this.all().filter((other) => goesBefore(other, request, view))
      .length;
  }

  /** Whether a waiting request gets room before another one. */
  hasBefore(request: RoomRequest, view: QueueView): boolean {
    return this.all().some((other) => goesBefore(other, request, view));
  }
}

function goesBefore(a: RoomRequest, b: RoomRequest, view: QueueView): boolean {
  const rank = (request: RoomRequest) => ({
    request,
    nowMs: view.nowMs,
    runningOfAccount: view.runningOf(request.clientAccount),
  });
  return compareRequests(rank(a), rank(b)) < 0;
}

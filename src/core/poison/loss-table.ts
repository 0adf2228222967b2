/** Losses that one entry recorded, by request and target incarnation. */
import {dropOldest} from './drop-oldest.js';

/** A target that was lost while it ran a request. */
export interface Loss {
  /** Fingerprint of the request. */
  readonly request: string;
  /** Identifier of the lost target incarnation. */
  readonly incarnation: string;
  /** When this process recorded or received it, on its own clock. */
  readonly atMs: number;
  /** Whether diagnosis has ended and found no cause other than the request. */
  readonly isSettled: boolean;
}

/** Maximum requests in the table; the oldest are dropped first. */
const MAX_REQUESTS = 4_096;

const NONE: ReadonlyMap<string, Loss> = new Map();

/**
 * Indexes losses by request.
 *
 * @example
 * const table = new LossTable();
 * table.put({request, incarnation, atMs: clock.now(), isSettled: false});
 * table.lossesOf(request).size; // 1
 */
export class LossTable {
  private readonly byRequest = new Map<string, Map<string, Loss>>();

  get isEmpty(): boolean {
    return this.byRequest.size === 0;
  }

  /** Returns the losses of a request, by incarnation. */
  lossesOf(request: string): ReadonlyMap<string, Loss> {
    return this.byRequest.get(request) ?? NONE;
  }

  /** Adds or replaces a loss. */
  put(loss: Loss): void {
    const {request, incarnation} = loss;
    const losses = this.byRequest.get(request) ?? new Map<string, Loss>();
    losses.set(incarnation, loss);
    // Reinserts the request, so that the order is by latest loss.
    this.byRequest.delete(request);
    this.byRequest.set(request, losses);
    dropOldest({entries: this.byRequest, maxSize: MAX_REQUESTS});
  }

  remove({request, incarnation}: {request: string; incarnation: string}): void {
    const losses = this.byRequest.get(request);
    losses?.delete(incarnation);
    if (losses?.size === 0) this.byRequest.delete(request);
  }

  removeAll(request: string): void {
    this.byRequest.delete(request);
  }

  *all(): Iterable<Loss> {
    for (const losses of this.byRequest.values()) yield* losses.values();
  }
}

/** Losses of one entry, by request and life of the lost target. */
import {dropOldest} from './drop-oldest.js';

/** One target that was lost under a request. */
export interface Loss {
  readonly request: string;
  /** Life of the target, as `lifeOf` names it. */
  readonly incarnation: string;
  /** When this process learned of it, on its own clock. */
  readonly atMs: number;
  /** No other cause of the loss was found; else it is not known yet. */
  readonly isSettled: boolean;
}

/** Requests that are remembered; the oldest ones go first. */
const MAX_REQUESTS = 4_096;

const NONE: ReadonlyMap<string, Loss> = new Map();

/**
 * Finds losses by their requests.
 *
 * @example
 * const table = new LossTable();
 * table.put({request, life, atMs: clock.now(), isSettled: false});
 * table.of(request).size; // 1
 */
export class LossTable {
  private readonly byRequest = new Map<string, Map<string, Loss>>();

  get isEmpty(): boolean {
    return this.byRequest.size === 0;
  }

  /** The losses under a request, by life. */
  lossesOf(request: string): ReadonlyMap<string, Loss> {
    return this.byRequest.get(request) ?? NONE;
  }

  /** Adds a loss, or replaces what was known of it. */
  put(loss: Loss): void {
    const {request, incarnation: life} = loss;
    const lives = this.byRequest.get(request) ?? new Map<string, Loss>();
    lives.set(life, loss);
    // The newest requests stand last.
    this.byRequest.delete(request);
    this.byRequest.set(request, lives);
    dropOldest({entries: this.byRequest, maxSize: MAX_REQUESTS});
  }

  remove({request, incarnation}: {request: string; incarnation: string}): void {
    const lives = this.byRequest.get(request);
    lives?.delete(incarnation);
    if (lives?.size === 0) this.byRequest.delete(request);
  }

  removeAll(request: string): void {
    this.byRequest.delete(request);
  }

  *all(): Iterable<Loss> {
    for (const lives of this.byRequest.values()) yield* lives.values();
  }
}

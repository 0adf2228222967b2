/** Losses that one entry recorded, by suspect and target incarnation. */
import {dropOldest} from './drop-oldest.js';
import type {PartLoss} from './recorded-losses.js';

/** A target that was lost while it ran a suspect. */
export interface Loss {
  /** Fingerprint of a request, or key of a prompt part. */
  readonly suspect: string;
  /** Identifier of the lost target incarnation. */
  readonly incarnation: string;
  /** When this process recorded or received it, on its own clock. */
  readonly atMs: number;
  /** Whether diagnosis has ended and found no cause other than the suspect. */
  readonly isSettled: boolean;
  /** Present if the suspect is a prompt part. */
  readonly part?: PartLoss;
}

/** Maximum suspects in the table; the oldest are dropped first. */
const MAX_SUSPECTS = 4_096;

const NONE: ReadonlyMap<string, Loss> = new Map();

/**
 * Indexes losses by suspect.
 *
 * @example
 * const table = new LossTable();
 * table.put({suspect, incarnation, atMs: clock.now(), isSettled: false});
 * table.lossesOf(suspect).size; // 1
 */
export class LossTable {
  private readonly bySuspect = new Map<string, Map<string, Loss>>();

  get isEmpty(): boolean {
    return this.bySuspect.size === 0;
  }

  /** Returns the losses of a suspect, by incarnation. */
  lossesOf(suspect: string): ReadonlyMap<string, Loss> {
    return this.bySuspect.get(suspect) ?? NONE;
  }

  /** Adds or replaces a loss. */
  put(loss: Loss): void {
    const {suspect, incarnation} = loss;
    const losses = this.bySuspect.get(suspect) ?? new Map<string, Loss>();
    losses.set(incarnation, loss);
    // Reinserts the suspect, so that the order is by latest loss.
    this.bySuspect.delete(suspect);
    this.bySuspect.set(suspect, losses);
    dropOldest({entries: this.bySuspect, maxSize: MAX_SUSPECTS});
  }

  remove({suspect, incarnation}: {suspect: string; incarnation: string}): void {
    const losses = this.bySuspect.get(suspect);
    losses?.delete(incarnation);
    if (losses?.size === 0) this.bySuspect.delete(suspect);
  }

  removeAll(suspect: string): void {
    this.bySuspect.delete(suspect);
  }

  *all(): Iterable<Loss> {
    for (const losses of this.bySuspect.values()) yield* losses.values();
  }
}

/** Losses that one entry recorded, by suspect and target incarnation. */
import {MAX_PROMPTS} from './consts.js';
import {dropOldest} from './drop-oldest.js';
import type {PromptDigest} from './prompt-digest.js';
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
  /** Digests of the prompts of lost requests, by request. */
  private readonly digests = new Map<string, PromptDigest>();

  get isEmpty(): boolean {
    return this.bySuspect.size === 0;
  }

  /** Returns the losses of a suspect, by incarnation. */
  lossesOf(suspect: string): ReadonlyMap<string, Loss> {
    return this.bySuspect.get(suspect) ?? NONE;
  }

  /** The suspects of which there are losses. */
  get suspects(): Iterable<string> {
    return this.bySuspect.keys();
  }

  /** Digests of the prompts of lost requests, by request. */
  get prompts(): ReadonlyMap<string, PromptDigest> {
    return this.digests;
  }

  /** Adds or replaces the digest of the prompt of a lost request. */
  putPrompt(request: string, digest: PromptDigest): void {
    this.digests.delete(request);
    this.digests.set(request, digest);
    dropOldest({entries: this.digests, maxSize: MAX_PROMPTS});
  }

  /**
   * The losses of a prompt part that are not recorded one by one: those of the
   * requests whose prompts have it.
   */
  *promptLossesOf(part: string): Iterable<Loss> {
    for (const [request, digest] of this.digests) {
      if (!digest.has(part)) continue;
      for (const loss of this.lossesOf(request).values())
        yield {...loss, suspect: part, part: {by: request, position: 0}};
    }
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
    if (losses?.size === 0) this.removeAll(suspect);
  }

  removeAll(suspect: string): void {
    this.bySuspect.delete(suspect);
    this.digests.delete(suspect);
  }

  *all(): Iterable<Loss> {
    for (const losses of this.bySuspect.values()) yield* losses.values();
  }
}

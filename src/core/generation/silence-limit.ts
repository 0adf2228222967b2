/** Limits how long a peer may be silent, by the gaps between its messages. */

/** Factor by which the widest gap decays with each observed gap. */
const GAP_DECAY = 0.98;

/** Allowed silence as a multiple of the widest recent gap. */
const GAP_FACTOR = 3;

/** Maximum allowed silence unless a floor is higher, in milliseconds. */
export const SILENCE_CEILING_MS = 1_800;

/**
 * Records the widest recent gap between messages of a peer, so that a peer
 * that is slow under load is not considered dead.
 *
 * @example
 * const limit = new SilenceLimit();
 * limit.observe(120);
 * limit.allowedMs(450);
 */
export class SilenceLimit {
  private widestGapMs = 0;

  /** Records a gap that ended with a message. */
  observe(gapMs: number): void {
    this.widestGapMs = Math.max(gapMs, this.widestGapMs * GAP_DECAY);
  }

  /**
   * Returns the allowed silence in milliseconds: at least `floorMs`, and at
   * most SILENCE_CEILING_MS unless `floorMs` is higher.
   */
  allowedMs(floorMs: number): number {
    const byGaps = this.widestGapMs * GAP_FACTOR;
    const ceilingMs = Math.max(floorMs, SILENCE_CEILING_MS);
    return Math.min(Math.max(floorMs, byGaps), ceilingMs);
  }
}

/** How long a peer may be silent, by the gaps observed before. */

/** Share of the widest gap that remains after another gap. */
const DECAY = 0.98;

/** Silence allowed, as a multiple of the widest recent gap. */
const ALLOWED_GAPS = 3;

/** Silence that is never allowed, in milliseconds. */
export const SILENCE_CEILING_MS = 1_800;

/**
 * Remembers the widest recent gap between a peer's words, so that a peer
 * which is slow under load is not taken for dead.
 *
 * @example
 * const limit = new SilenceLimit();
 * limit.observe(120);
 * limit.allowedMs(450);
 */
export class SilenceLimit {
  private widestMs = 0;

  /** Notes a gap that ended with a word. */
  observe(gapMs: number): void {
    this.widestMs = Math.max(gapMs, this.widestMs * DECAY);
  }

  /** The silence allowed now; at least `floorMs`, at most the ceiling. */
  allowedMs(floorMs: number): number {
    const byGaps = this.widestMs * ALLOWED_GAPS;
    const ceilingMs = Math.max(floorMs, SILENCE_CEILING_MS);
    return Math.min(Math.max(floorMs, byGaps), ceilingMs);
  }
}

/** Bounds the bytes of request bodies that one target holds for an entry. */

/** Bytes of a body that are not counted, so that small requests go on. */
export const EXEMPT_BODY_BYTES = 16 * 1024;

/** Bytes of bodies that a target may hold for one entry. */
export const MAX_HELD_BYTES = 16 * 1024 * 1024;

/** The least that the bound falls to. */
export const MIN_HELD_BYTES = 1024 * 1024;

/** Time without a loss after which a lowered bound doubles, in milliseconds. */
export const RECOVERY_MS = 5_000;

/**
 * Time within which the losses of one crash are noticed, in milliseconds; its
 * connections break at once.
 */
export const CRASH_MS = 1_000;

/**
 * The bodies of one target's open requests. A target that is lost while it
 * holds much may have run out of memory, so its bound falls below what it held,
 * and rises again while it stays up. One body alone is always allowed, as
 * nothing else tells whether the target bears it.
 *
 * @example
 * const allowance = new BodyAllowance();
 * if (!allowance.tryTake(body.length, clock.now())) return refuse();
 * allowance.release(body.length);
 */
export class BodyAllowance {
  private held = 0;
  private boundBytes = MAX_HELD_BYTES;
  /** When the bound last changed. */
  private changedMs = 0;
  /** When the bound was last lowered. */
  private lostMs = Number.NEGATIVE_INFINITY;

  /** Bytes that are counted now. */
  get heldBytes(): number {
    return this.held;
  }

  /** Whether the target does not hold too much for a body that is sent now. */
  canTake(bytes: number, nowMs: number): boolean {
    const counted = countedOf(bytes);
    if (counted === 0 || this.held === 0) return true;
    this.recover(nowMs);
    return this.held + counted <= this.boundBytes;
  }

  /** Counts a body that is sent now; false if the target holds too much. */
  tryTake(bytes: number, nowMs: number): boolean {
    if (!this.canTake(bytes, nowMs)) return false;
    this.held += countedOf(bytes);
    return true;
  }

  /** The request of a body is over. */
  release(bytes: number): void {
    this.held -= countedOf(bytes);
  }

  /**
   * The target was lost with all that it holds; call it for each lost body before
   * `release`. Bodies that one crash ends count as one loss.
   */
  recordLoss(nowMs: number, takenAtMs = nowMs): void {
    const isSameCrash =
      takenAtMs <= this.lostMs && nowMs - this.lostMs < CRASH_MS;
    if (isSameCrash || this.held <= MIN_HELD_BYTES) return;
    const lowered = Math.max(MIN_HELD_BYTES, this.held / 2);
    if (lowered >= this.boundBytes) return;
    this.boundBytes = lowered;
    this.changedMs = nowMs;
    this.lostMs = nowMs;
  }

  /** Whether nothing is counted and the bound is as at the start. */
  isIdle(nowMs: number): boolean {
    this.recover(nowMs);
    return this.held === 0 && this.boundBytes === MAX_HELD_BYTES;
  }

  private recover(nowMs: number): void {
    while (
      this.boundBytes < MAX_HELD_BYTES &&
      nowMs - this.changedMs >= RECOVERY_MS
    ) {
      this.boundBytes = Math.min(MAX_HELD_BYTES, this.boundBytes * 2);
      this.changedMs += RECOVERY_MS;
    }
  }
}

function countedOf(bytes: number): number {
  return Math.max(0, bytes - EXEMPT_BODY_BYTES);
}

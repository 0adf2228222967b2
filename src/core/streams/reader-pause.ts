/** Pauses of a stream whose caller does not read, and what they explain. */

/**
 * Time for which a stream is held back at least before its target may cut it
 * off as unread, in milliseconds.
 */
export const MIN_UNREAD_MS = 1_000;

/**
 * Time after such a pause in which the end of the connection becomes known, in
 * milliseconds: what had arrived by then is read first.
 */
export const PAUSE_AFTERMATH_MS = 1_000;

/**
 * When a stream was held back for its caller. A target cuts off a response that
 * nobody reads, which is no failure of the target.
 *
 * @example
 * const pause = new ReaderPause();
 * pause.begin(100);
 * pause.end(1_400);
 * pause.explainsLoss(1_500); // true
 */
export class ReaderPause {
  private beganMs?: number;
  private lastLongEndMs = Number.NEGATIVE_INFINITY;

  /** The stream is held back from now on. */
  begin(nowMs: number): void {
    this.beganMs ??= nowMs;
  }

  /** The stream is read again. */
  end(nowMs: number): void {
    if (this.isLong(nowMs)) this.lastLongEndMs = nowMs;
    this.beganMs = undefined;
  }

  /** Whether a target that is lost now may have cut off an unread response. */
  explainsLoss(nowMs: number): boolean {
    if (this.isLong(nowMs)) return true;
    return nowMs - this.lastLongEndMs <= PAUSE_AFTERMATH_MS;
  }

  private isLong(nowMs: number): boolean {
    return this.beganMs !== undefined && nowMs - this.beganMs >= MIN_UNREAD_MS;
  }
}

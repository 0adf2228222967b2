/** Collects the body of an answer, up to a bound. */

/** Most that is kept of one answer, or of one event, in bytes. */
export const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

/** What is said of an answer that is over the bound. */
export const TOO_LARGE_DETAIL = `over ${MAX_RESPONSE_BYTES} bytes`;

/**
 * The bytes of one answer. A target may send without end, so nothing is kept
 * beyond the bound.
 *
 * @example
 * const body = new AnswerBody();
 * body.push(chunk);
 * if (body.isTooLarge) exchange.cancel();
 */
export class ResponseBody {
  private chunks: Uint8Array[] = [];
  private size = 0;

  /** Whether more has come than is kept. */
  get isTooLarge(): boolean {
    return this.size > MAX_RESPONSE_BYTES;
  }

  push(chunk: Uint8Array): void {
    this.size += chunk.length;
    if (this.isTooLarge) this.chunks = [];
    else this.chunks.push(chunk);
  }

  toBytes(): Uint8Array {
    return this.chunks.length === 1
      ? this.chunks[0]!
      : Buffer.concat(this.chunks);
  }
}

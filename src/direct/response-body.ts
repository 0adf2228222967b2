/** Buffers the body of a response, up to a size limit. */

/** Largest response, or event of a stream, that is buffered, in bytes. */
export const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

/** Error detail for a response or event over the limit. */
export const TOO_LARGE_DETAIL = `exceeds ${MAX_RESPONSE_BYTES} bytes`;

/**
 * The body of one response. A faulty target may send without end, so the
 * buffer is discarded once the limit is exceeded.
 *
 * @example
 * const body = new ResponseBody();
 * body.push(chunk);
 * if (body.isTooLarge) exchange.cancel();
 */
export class ResponseBody {
  private chunks: Uint8Array[] = [];
  private size = 0;

  /** Whether the limit has been exceeded. */
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

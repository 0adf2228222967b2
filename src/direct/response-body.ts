/** Buffers the body of a response, up to a size limit. */
import {ByteBuffer} from '../core/bytes/index.js';

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
  private readonly buffer = new ByteBuffer();
  private hasOverflowed = false;

  /** Whether the limit has been exceeded. */
  get isTooLarge(): boolean {
    return this.hasOverflowed;
  }

  push(chunk: Uint8Array): void {
    this.hasOverflowed ||=
      this.buffer.length + chunk.length > MAX_RESPONSE_BYTES;
    if (this.hasOverflowed) this.buffer.clear();
    else this.buffer.push(chunk);
  }

  toBytes(): Uint8Array {
    return this.buffer.toBytes();
  }
}

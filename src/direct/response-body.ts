/** Buffers the body of a response, up to a size limit. */
import type {MemoryBudget, MemoryShare} from '../core/bytes/index.js';
import {ByteBuffer} from '../core/bytes/index.js';

/** Largest response, or event of a stream, that is buffered, in bytes. */
export const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

/** Size from which on a response is large, in bytes. */
const MIN_LARGE_BYTES = 16 * 1024;

/** Error detail for a response or event over the limit. */
export const TOO_LARGE_DETAIL = `exceeds ${MAX_RESPONSE_BYTES} bytes, or the memory for messages`;

/** Error detail for a response that the entry has no memory for. */
export const NO_MEMORY_DETAIL = 'exceeds the memory for messages';

/**
 * The body of one response. A faulty target may send without end, so the
 * buffer is discarded once the limit is exceeded.
 *
 * @example
 * const body = new ResponseBody({memory});
 * body.push(chunk);
 * if (body.isTooLarge) exchange.cancel();
 * body.release();
 */
export class ResponseBody {
  private readonly buffer = new ByteBuffer();
  private readonly share: MemoryShare;
  private hasOverflowed = false;
  private isOverMemory = false;

  constructor(options: {memory: MemoryBudget}) {
    this.share = options.memory.open();
  }

  /** Whether its limit, or the memory for all messages, has been exceeded. */
  get isTooLarge(): boolean {
    return this.hasOverflowed;
  }

  /** Whether only the memory for all messages has been exceeded. */
  get hasNoMemory(): boolean {
    return this.isOverMemory;
  }

  push(chunk: Uint8Array): void {
    if (this.hasOverflowed) return;
    const size = this.buffer.length + chunk.length;
    const isTooLarge = size > MAX_RESPONSE_BYTES;
    this.isOverMemory = !isTooLarge && !this.reserve(size);
    this.hasOverflowed = isTooLarge || this.isOverMemory;
    if (size > MIN_LARGE_BYTES) this.share.recordRead(chunk.length);
    if (this.hasOverflowed) this.release();
    else this.buffer.push(chunk);
  }

  private reserve(size: number): boolean {
    return this.share.resize(this.buffer.capacityFor(size));
  }

  /** Gives its memory back; bytes that were returned stay as they are. */
  release(): void {
    this.buffer.clear();
    this.share.release();
  }

  toBytes(): Uint8Array {
    return this.buffer.toBytes();
  }
}

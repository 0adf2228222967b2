/** Buffers the body of a response, up to a size limit. */
import type {MemoryBudget, MemoryShare} from '../core/bytes/index.js';
import {ByteBuffer} from '../core/bytes/index.js';
import {ExchangeFailure} from '../core/edges/direct-target.js';

/** Largest response, or event of a stream, that is buffered, in bytes. */
export const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

/** Size from which on a response is large, in bytes. */
const MIN_LARGE_BYTES = 16 * 1024;

/** Why a response is not buffered any more. */
export interface ResponseOverflow {
  readonly failure: ExchangeFailure;
  readonly detail: string;
}

/** It is larger than any may be. */
export const TOO_LARGE: ResponseOverflow = {
  failure: ExchangeFailure.BROKEN,
  detail: `exceeds ${MAX_RESPONSE_BYTES} bytes`,
};

/** The entry has no memory for it now. */
export const NO_MEMORY: ResponseOverflow = {
  failure: ExchangeFailure.NO_MEMORY,
  detail: 'exceeds the memory for messages',
};

/**
 * The body of one response. A faulty target may send without end, so the
 * buffer is discarded once the limit is exceeded.
 *
 * @example
 * const body = new ResponseBody({memory});
 * body.push(chunk);
 * if (body.overflow !== undefined) exchange.cancel();
 * body.release();
 */
export class ResponseBody {
  private readonly buffer = new ByteBuffer();
  private readonly share: MemoryShare;
  private overflowed?: ResponseOverflow;

  constructor(options: {memory: MemoryBudget}) {
    this.share = options.memory.open();
  }

  /** Set once its limit, or the memory for all messages, was exceeded. */
  get overflow(): ResponseOverflow | undefined {
    return this.overflowed;
  }

  push(chunk: Uint8Array): void {
    if (this.overflowed !== undefined) return;
    const size = this.buffer.length + chunk.length;
    if (size > MAX_RESPONSE_BYTES) this.overflowed = TOO_LARGE;
    else if (!this.reserve(size)) this.overflowed = NO_MEMORY;
    if (size > MIN_LARGE_BYTES) this.share.recordRead(chunk.length);
    if (this.overflowed !== undefined) this.release();
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

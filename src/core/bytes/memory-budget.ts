/** Bounds the memory of all messages that a process holds at once. */

/** Bytes of each message that are not counted, so that small ones go on. */
const EXEMPT_BYTES = 16 * 1024;

/**
 * Memory for messages. Each message reserves what it holds beyond the exempt
 * bytes, and gives it back when it is over.
 *
 * @example
 * const budget = new MemoryBudget({limitBytes: 40 * 1024 * 1024});
 * const share = budget.open();
 * if (!share.resize(body.length)) refuse();
 * share.release();
 */
export class MemoryBudget {
  private used = 0;
  private limitBytes: number;

  constructor(
    private readonly options: {
      limitBytes: number;
      /** Called with bytes that were read or reserved for large messages. */
      onLargeRead?: (bytes: number) => void;
    },
  ) {
    this.limitBytes = options.limitBytes;
  }

  /** Bytes that are reserved now. */
  get usedBytes(): number {
    return this.used;
  }

  /** Changes the limit; what is reserved stays reserved. */
  setLimit(limitBytes: number): void {
    this.limitBytes = limitBytes;
  }

  /** Begins to count a message, which holds nothing yet. */
  open(): MemoryShare {
    return new MemoryShare({
      take: (bytes) => this.take(bytes),
      recordRead: (bytes) => this.options.onLargeRead?.(bytes),
    });
  }

  /** Changes what is reserved; false if that would exceed the limit. */
  private take(bytes: number): boolean {
    if (bytes > 0 && this.used + bytes > this.limitBytes) return false;
    this.used += bytes;
    if (bytes > 0) this.options.onLargeRead?.(bytes);
    return true;
  }
}

/** The memory of one message. */
export class MemoryShare {
  private reserved = 0;

  /** Created by `MemoryBudget.open`. */
  constructor(
    private readonly budget: {
      take: (bytes: number) => boolean;
      recordRead: (bytes: number) => void;
    },
  ) {}

  /** Reserves memory for a message of a size; false if there is not enough. */
  resize(bytes: number): boolean {
    const needed = Math.max(0, bytes - EXEMPT_BYTES);
    if (!this.budget.take(needed - this.reserved)) return false;
    this.reserved = needed;
    return true;
  }

  /** Counts a piece that was read, and is garbage once it was handled. */
  recordRead(bytes: number): void {
    this.budget.recordRead(bytes);
  }

  /** Gives everything back. */
  release(): void {
    this.budget.take(-this.reserved);
    this.reserved = 0;
  }
}

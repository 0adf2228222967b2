/** Collects the bytes of one message in a single block of memory. */

/** Smallest block, in bytes. */
const MIN_CAPACITY = 1_024;

const GROWTH_FACTOR = 2;

const EMPTY = Buffer.alloc(0);

/**
 * Copies pieces into one growing block, so that memory depends on the number
 * of bytes only, never on the number or the origin of the pieces.
 *
 * @example
 * const buffer = new ByteBuffer();
 * buffer.push(chunk);
 * const body = buffer.toBytes();
 */
export class ByteBuffer {
  private block: Buffer = EMPTY;
  private size = 0;
  private closed = false;

  constructor(options: {capacity?: number} = {}) {
    this.reserve(options.capacity ?? 0);
  }

  /** Number of collected bytes. */
  get length(): number {
    return this.size;
  }

  push(piece: Uint8Array): void {
    if (this.closed) return;
    this.reserve(this.size + piece.length);
    this.block.set(piece, this.size);
    this.size += piece.length;
  }

  /** The collected bytes; later pushes leave them as they are. */
  toBytes(): Buffer {
    return this.block.subarray(0, this.size);
  }

  /** Whether it takes no more bytes. */
  get isClosed(): boolean {
    return this.closed;
  }

  /** Forgets the bytes, and takes no more. */
  close(): void {
    this.closed = true;
    this.clear();
  }

  /** Forgets the bytes; those that were returned stay as they are. */
  clear(): void {
    this.block = EMPTY;
    this.size = 0;
  }

  /** Memory that it takes with so many bytes in all. */
  capacityFor(needed: number): number {
    const {length} = this.block;
    if (needed <= length) return length;
    return Math.max(MIN_CAPACITY, length * GROWTH_FACTOR, needed);
  }

  /** Makes room for so many bytes in all. */
  reserve(needed: number): void {
    const capacity = this.capacityFor(needed);
    if (capacity === this.block.length) return;
    const grown = allocate(capacity);
    this.block.copy(grown, 0, 0, this.size);
    this.block = grown;
  }
}

/** Large blocks do not share memory with others, which would keep them. */
function allocate(bytes: number): Buffer {
  return bytes > MIN_CAPACITY
    ? Buffer.allocUnsafeSlow(bytes)
    : Buffer.allocUnsafe(bytes);
}

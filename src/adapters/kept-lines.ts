/** Counts the lines of a response that a parser keeps as objects. */

/**
 * Most header lines that one response may have, of its head and its trailers
 * together.
 */
export const MAX_KEPT_LINES = 512;

/** Memory of a header line that is kept, at most, besides its text, in bytes. */
const LINE_BYTES = 512;

/** Lines that frame one piece of a body: the size of a chunk and its end. */
const LINES_PER_PIECE = 2;

const LINE_FEED = 0x0a;

/**
 * Counts each line that a parser reads, until it turns out to be of a body or
 * of an informational response, of which nothing is kept.
 *
 * @example
 * const lines = new KeptLines();
 * lines.add(slice);
 * lines.removeBody(chunk);
 * if (lines.areTooMany) close();
 */
export class KeptLines {
  private count = 0;
  /** Lines of the head that has ended, which its reader still holds. */
  private headLines = 0;

  /** Whether there are more than a response may have. */
  get areTooMany(): boolean {
    return this.count > MAX_KEPT_LINES;
  }

  /** Memory that the lines take, in bytes. */
  get memoryBytes(): number {
    return this.count * LINE_BYTES;
  }

  /** Adds the lines of bytes that the parser gets. */
  add(bytes: Uint8Array): void {
    this.count += countLines(bytes);
  }

  /** Removes the lines of bytes that the parser has given back. */
  remove(bytes: Uint8Array): void {
    this.count -= countLines(bytes);
  }

  /** Removes the lines of a piece of a body, and of its framing. */
  removeBody(piece: Uint8Array): void {
    const left = this.count - countLines(piece) - LINES_PER_PIECE;
    this.count = Math.max(this.headLines, left);
  }

  /** Removes an informational head with so many fields. */
  removeInformational(fields: number): void {
    // Its status line and the empty line that ends it come on top.
    this.count -= fields + 2;
  }

  /** The final head, with so many fields, has ended. */
  endHead(fields: number): void {
    this.headLines = fields;
    this.count = Math.max(this.count, fields);
  }

  /** Begins to count another response. */
  reset(): void {
    this.count = 0;
    this.headLines = 0;
  }
}

function countLines(bytes: Uint8Array): number {
  let count = 0;
  for (let i = 0; i < bytes.length; i++) if (bytes[i] === LINE_FEED) count++;
  return count;
}

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

/** Lines of a head besides its fields: the first one and the empty one. */
const OTHER_HEAD_LINES = 2;

const LINE_FEED = 0x0a;

const NO_BYTES = new Uint8Array();

/**
 * Counts the lines that a parser reads, but those of a body and those of an
 * informational response, of which nothing is kept. What a slice adds is known
 * once the parser has read all of it; the bytes of a body are not looked at.
 *
 * @example
 * lines.add(slice);
 * // The parser reads the slice, and calls `skipBody` for each piece of a body.
 * lines.settle();
 * if (lines.areTooMany) close();
 */
export class KeptLines {
  private count = 0;
  /** Lines of the head that has ended, which its reader still holds. */
  private headLines = 0;
  /** Lines of the latest slice that `count` has before they are reached. */
  private countedAhead = 0;
  /** The latest slice. */
  private slice: Uint8Array = NO_BYTES;
  /** Length of the part of the slice whose lines are in `count`. */
  private settled = 0;

  /** Whether there are more than a response may have. */
  get areTooMany(): boolean {
    return this.count > MAX_KEPT_LINES;
  }

  /** Memory that the lines take, in bytes. */
  get memoryBytes(): number {
    return this.count * LINE_BYTES;
  }

  /** Adds bytes that the parser gets now. */
  add(slice: Uint8Array): void {
    this.slice = slice;
    this.settled = 0;
  }

  /** Removes the end of the slice, which the parser has given back. */
  remove(rest: Uint8Array): void {
    this.slice = this.slice.subarray(0, this.slice.length - rest.length);
  }

  /** Leaves out a piece of a body, which is a view of the slice. */
  skipBody(piece: Uint8Array): void {
    const start = piece.byteOffset - this.slice.byteOffset;
    const lines = this.countUpTo(start) - LINES_PER_PIECE;
    this.count = Math.max(this.headLines, this.count + lines);
    this.settled = start + piece.length;
  }

  /** Counts the lines of the rest of the slice, which the parser has read. */
  settle(): void {
    this.count += this.countUpTo(this.slice.length);
  }

  /** Leaves out an informational head with so many fields. */
  skipInformational(fields: number): void {
    this.count -= fields + OTHER_HEAD_LINES;
  }

  /** The final head, with so many fields, has ended. */
  endHead(fields: number): void {
    const left = fields + OTHER_HEAD_LINES - this.count;
    this.countedAhead = Math.max(0, left);
    this.headLines = fields;
    this.count = Math.max(this.count, fields);
  }

  /** Begins to count another response. */
  reset(): void {
    this.count = 0;
    this.headLines = 0;
    this.countedAhead = 0;
    this.slice = NO_BYTES;
    this.settled = 0;
  }

  /** The lines from the settled part of the slice to an index of it. */
  private countUpTo(end: number): number {
    const {slice} = this;
    let lines = -this.countedAhead;
    for (let i = this.settled; i < end; i++)
      if (slice[i] === LINE_FEED) lines++;
    this.settled = Math.max(this.settled, end);
    this.countedAhead = 0;
    return Math.max(0, lines);
  }
}

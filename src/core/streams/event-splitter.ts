/** Splits the bytes of an event stream into complete events. */
import {createParser} from 'eventsource-parser';

const BLANK_LINE = Buffer.from('\n\n');

/** A complete event with the blank line that ends it. */
export interface RawEvent {
  /** The bytes as received. */
  readonly bytes: Uint8Array;
  /** Position of the event in its stream; undefined without a numeric id. */
  readonly id?: number;
}

/**
 * Buffers bytes until an event is complete. Bytes that remain at the end of a
 * stream are an incomplete event.
 *
 * @example
 * const splitter = new EventSplitter();
 * for (const event of splitter.push(chunk)) send(event.bytes);
 */
export class EventSplitter {
  private pending: Buffer = Buffer.alloc(0);
  private lastId?: string;
  private readonly parser = createParser({
    onEvent: (event) => {
      this.lastId = event.id;
    },
  });

  /** Number of buffered bytes of an incomplete event. */
  get pendingBytes(): number {
    return this.pending.length;
  }

  push(chunk: Uint8Array): RawEvent[] {
    const received = Buffer.from(
      chunk.buffer,
      chunk.byteOffset,
      chunk.byteLength,
    );
    let bytes =
      this.pending.length === 0
        ? received
        : Buffer.concat([this.pending, received]);
    const events: RawEvent[] = [];
    for (;;) {
      const index = bytes.indexOf(BLANK_LINE);
      if (index < 0) break;
      const end = index + BLANK_LINE.length;
      events.push(this.toEvent(bytes.subarray(0, end)));
      bytes = bytes.subarray(end);
    }
    this.pending = bytes;
    return events;
  }

  private toEvent(bytes: Buffer): RawEvent {
    this.lastId = undefined;
    this.parser.feed(bytes.toString('utf8'));
    this.parser.reset();
    return {bytes, id: toPosition(this.lastId)};
  }
}

/**
 * Parses the position in an event id; undefined if the id is not a number of at
 * most 9 digits.
 *
 * @example
 * toPosition('12'); // 12
 */
export function toPosition(id: string | undefined): number | undefined {
  if (id === undefined || !/^\d{1,9}$/.test(id)) return undefined;
  return Number(id);
}

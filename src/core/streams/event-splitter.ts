/** Splits the bytes of an event stream into whole events. */
import {createParser} from 'eventsource-parser';

const BLANK_LINE = Buffer.from('\n\n');

/** One whole event, with its blank line. */
export interface RawEvent {
  /** The bytes as they came. */
  readonly bytes: Uint8Array;
  /** Position of the event in its stream; undefined where it has none. */
  readonly id?: number;
}

/**
 * Collects bytes until an event is whole. What is left over at the end of a
 * stream is half an event.
 *
 * @example
 * const splitter = new EventSplitter();
 * for (const event of splitter.push(chunk)) send(event.bytes);
 */
export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0);
  private lastId?: string;
  private readonly parser = createParser({
    onEvent: (event) => {
      this.lastId = event.id;
    },
  });

  /** Bytes of an event that is not whole yet. */
  get pendingBytes(): number {
    return this.rest.length;
  }

  push(chunk: Uint8Array): RawEvent[] {
    const view = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength);
    let bytes =
      this.rest.length === 0 ? view : Buffer.concat([this.rest, view]);
    const events: RawEvent[] = [];
    for (;;) {
      const at = bytes.indexOf(BLANK_LINE);
      if (at < 0) break;
      const end = at + BLANK_LINE.length;
      events.push(this.toEvent(bytes.subarray(0, end)));
      bytes = bytes.subarray(end);
    }
    this.rest = bytes;
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
 * The position that an event id names.
 *
 * @example
 * toPosition('12'); // 12
 */
export function toPosition(id: string | undefined): number | undefined {
  if (id === undefined || !/^\d{1,9}$/.test(id)) return undefined;
  return Number(id);
}

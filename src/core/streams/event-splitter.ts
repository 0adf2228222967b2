/** Splits the bytes of an event stream into complete events. */
import {createParser} from 'eventsource-parser';

import {ByteBuffer} from '../bytes/index.js';

const BLANK_LINE = Buffer.from('\n\n');

/** A complete event with the blank line that ends it. */
export interface RawEvent {
  /** The bytes as received. */
  readonly bytes: Uint8Array;
  /** Position of the event in its stream; undefined without a numeric id. */
  readonly id?: number;
  /**
   * Whether it carries data. Comments, `retry:` lines and empty lines do not;
   * what follows on each other of them is returned as one.
   */
  readonly hasData: boolean;
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
  private readonly pending = new ByteBuffer();
  private hasParsedEvent = false;
  private lastId?: string;
  private readonly parser = createParser({
    onEvent: (event) => {
      this.hasParsedEvent = true;
      this.lastId = event.id;
    },
  });

  /** Number of buffered bytes of an incomplete event. */
  get pendingBytes(): number {
    return this.pending.length;
  }

  push(chunk: Uint8Array): RawEvent[] {
    const {length: scanned} = this.pending;
    const bytes = this.appendToPending(chunk);
    const events: RawEvent[] = [];
    let start = 0;
    // A blank line may begin with the last byte that was scanned before.
    let from = Math.max(0, scanned - 1);
    for (;;) {
      const index = bytes.indexOf(BLANK_LINE, from);
      if (index < 0) break;
      const end = index + BLANK_LINE.length;
      this.addBlock(events, bytes.subarray(start, end));
      start = end;
      from = end;
    }
    if (start > 0) this.keepPending(bytes.subarray(start));
    return events;
  }

  /** Returns the bytes since the last event, without a copy if it can. */
  private appendToPending(chunk: Uint8Array): Buffer {
    const received = Buffer.from(
      chunk.buffer,
      chunk.byteOffset,
      chunk.byteLength,
    );
    const isComplete = received.includes(BLANK_LINE);
    if (this.pending.length === 0 && isComplete) return received;
    this.pending.push(received);
    return this.pending.toBytes();
  }

  private keepPending(rest: Buffer): void {
    this.pending.clear();
    if (rest.length > 0) this.pending.push(rest);
  }

  private addBlock(events: RawEvent[], block: Buffer): void {
    const event = this.toEvent(block);
    const last = events.at(-1);
    const isContinued = last !== undefined && !last.hasData && !event.hasData;
    if (isContinued) events[events.length - 1] = join(last, event);
    else events.push(event);
  }

  private toEvent(bytes: Buffer): RawEvent {
    if (bytes.length === BLANK_LINE.length) return {bytes, hasData: false};
    this.hasParsedEvent = false;
    this.lastId = undefined;
    this.parser.feed(bytes.toString('utf8'));
    this.parser.reset();
    const {hasParsedEvent: hasData} = this;
    return {bytes, id: toPosition(this.lastId), hasData};
  }
}

/** Joins two events that are adjacent in memory. */
function join(first: RawEvent, second: RawEvent): RawEvent {
  const {buffer, byteOffset} = first.bytes;
  const length = first.bytes.length + second.bytes.length;
  return {bytes: Buffer.from(buffer, byteOffset, length), hasData: false};
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

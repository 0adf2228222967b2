/** Streams that end with their connection, or are cut off by its end. */
import type {Socket} from 'node:net';

/** Where a stream ends. All but the last have neither length nor chunks. */
export enum StreamEnd {
  /** After its last event. */
  COMPLETE = 'after its last event',
  AFTER_HEAD = 'after its head',
  INSIDE_FIRST_EVENT = 'inside its first event',
  INSIDE_LATER_EVENT = 'inside a later event',
  /** Between two events, by a reset of the connection. */
  RESET = 'by a reset between two events',
  BETWEEN_CHUNKS = 'between two chunks',
}

/** A stream and where it ends. */
export interface CloseDelimitedStream {
  readonly socket: Socket;
  readonly attemptId: string;
  readonly targetId: string;
  /** All events, encoded. */
  readonly events: readonly string[];
  readonly end: StreamEnd;
}

/** Time from the last write until a reset, in milliseconds. */
const RESET_DELAY_MS = 10;

const HEXADECIMAL = 16;

const CHUNKED_HEADERS = ['Transfer-Encoding: chunked', 'Connection: close'];

/** Events before a stream that is cut inside a later one. */
const WHOLE_EVENTS = 2;

/**
 * Sends a stream without length or chunks and closes or resets its connection.
 *
 * @example
 * sendCloseDelimited({socket, attemptId, targetId, events, end});
 */
export function sendCloseDelimited(stream: CloseDelimitedStream): void {
  const {socket, attemptId, targetId, end} = stream;
  const head = [
    'HTTP/1.1 200 OK',
    `Attempt-Id: ${attemptId}`,
    `Server-Stamp: s-${targetId}`,
    'Content-Type: text/event-stream',
    ...(end === StreamEnd.BETWEEN_CHUNKS ? CHUNKED_HEADERS : []),
  ];
  const text = `${head.join('\r\n')}\r\n\r\n${bodyOf(stream)}`;
  if (end !== StreamEnd.RESET) {
    socket.end(text);
    return;
  }
  socket.write(text, () =>
    setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS),
  );
}

function bodyOf({events, end}: CloseDelimitedStream): string {
  const whole = events.slice(0, WHOLE_EVENTS).join('');
  switch (end) {
    case StreamEnd.AFTER_HEAD:
      return '';
    case StreamEnd.INSIDE_FIRST_EVENT:
      return halfOf(events[0]!);
    case StreamEnd.INSIDE_LATER_EVENT:
      return whole + halfOf(events[WHOLE_EVENTS]!);
    case StreamEnd.RESET:
      return whole;
    case StreamEnd.BETWEEN_CHUNKS:
      return `${whole.length.toString(HEXADECIMAL)}\r\n${whole}\r\n`;
    default:
      return events.join('');
  }
}

function halfOf(event: string): string {
  return event.slice(0, event.length / 2);
}

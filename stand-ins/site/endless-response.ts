/** Responses of a target that never end. */
import type {IncomingMessage} from 'node:http';

import {Header} from '../../platform/names.js';
import {TargetFault} from './target-fault.js';

/** Approximate size of a write of an endless response, in bytes. */
const WRITE_BYTES = 65_536;

/** What an endless response consists of. */
interface EndlessResponse {
  /** Sent once; `{id}` stands for the headers that identify the response. */
  readonly start: string;
  /** Sent again and again. */
  readonly repeated: string;
  /** Whether it is sent now and then; as fast as the client reads by default. */
  readonly isSlow?: boolean;
}

/** Pause between the parts of a slow response, in milliseconds. */
const SLOW_PAUSE_MS = 20;

const ID = '{id}';

const CHUNKED = `${ID}Transfer-Encoding: chunked\r\n\r\n`;

const STREAM = `HTTP/1.1 200 OK\r\n${ID}Content-Type: text/event-stream\r\n`;

const ONE_BYTE_CHUNK = '1\r\nx\r\n';

const RESPONSES: Partial<Record<TargetFault, EndlessResponse>> = {
  [TargetFault.ENDLESS_HEAD]: {
    start: `HTTP/1.1 200 OK\r\n${ID}X: `,
    repeated: 'x',
  },
  [TargetFault.ENDLESS_BODY]: {
    start: `HTTP/1.1 200 OK\r\n${ID}\r\n`,
    repeated: 'x',
  },
  [TargetFault.ENDLESS_FAILURE]: {
    start: `HTTP/1.1 500 Failed\r\n${ID}\r\n`,
    repeated: 'x',
  },
  [TargetFault.ENDLESS_INVALID]: {start: '', repeated: 'x'},
  [TargetFault.ENDLESS_STATUS_LINE]: {start: 'HTTP/1.1 200 ', repeated: 'x'},
  [TargetFault.ENDLESS_INFORMATIONAL]: {
    start: '',
    repeated: 'HTTP/1.1 102 Processing\r\n\r\n',
  },
  [TargetFault.ENDLESS_CHUNKS]: {
    start: `HTTP/1.1 200 OK\r\n${CHUNKED}`,
    repeated: ONE_BYTE_CHUNK,
  },
  [TargetFault.ENDLESS_FAILURE_CHUNKS]: {
    start: `HTTP/1.1 500 Failed\r\n${CHUNKED}`,
    repeated: ONE_BYTE_CHUNK,
  },
  [TargetFault.ENDLESS_CHUNK_EXTENSION]: {
    start: `HTTP/1.1 200 OK\r\n${CHUNKED}1;x=`,
    repeated: 'x',
  },
  [TargetFault.ENDLESS_TRAILERS]: {
    start: `HTTP/1.1 200 OK\r\n${CHUNKED}${ONE_BYTE_CHUNK}0\r\n`,
    repeated: 'X: y\r\n',
  },
  [TargetFault.ENDLESS_REJECTION]: {
    start: `HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n${CHUNKED}`,
    repeated: ONE_BYTE_CHUNK,
  },
  [TargetFault.ENDLESS_MISDIRECTED]: {
    start: `HTTP/1.1 421 Another\r\n${ID}\r\n`,
    repeated: 'x',
  },
  [TargetFault.DRIPPING_REJECTION]: {
    start: `HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n${CHUNKED}`,
    repeated: ONE_BYTE_CHUNK,
    isSlow: true,
  },
  [TargetFault.ENDLESS_EMPTY_LINES]: {start: `${STREAM}\r\n`, repeated: '\n'},
  [TargetFault.ENDLESS_COMMENTS]: {start: `${STREAM}\r\n`, repeated: ':\n\n'},
  [TargetFault.ENDLESS_RETRY_LINES]: {
    start: `${STREAM}\r\n`,
    repeated: 'retry: 1\n\n',
  },
  [TargetFault.ENDLESS_REPEATED_EVENT]: {
    start: `${STREAM}\r\n`,
    repeated: 'id: 1\ndata: 1\n\n',
  },
  [TargetFault.ENDLESS_EVENT]: {
    start: `${STREAM}Transfer-Encoding: chunked\r\n\r\n`,
    repeated: '10\r\ndata: 0123456789\r\n',
  },
  [TargetFault.ENDLESS_EVENTS]: {
    start: `${STREAM}\r\n`,
    repeated: `data: ${'x'.repeat(1_000)}\n\n`,
  },
  [TargetFault.ENDLESS_AFTER_RESPONSE]: {
    start: `HTTP/1.1 200 OK\r\n${ID}Content-Length: 2\r\n\r\nok`,
    repeated: '\r\n',
  },
};

/**
 * Faults that the soak does not draw yet, so that its seeds still play what
 * they played when they failed.
 */
export const FAULTS_OUTSIDE_SOAK: ReadonlySet<TargetFault> = new Set([
  TargetFault.ENDLESS_STATUS_LINE,
  TargetFault.ENDLESS_INFORMATIONAL,
  TargetFault.ENDLESS_CHUNKS,
  TargetFault.ENDLESS_FAILURE_CHUNKS,
  TargetFault.ENDLESS_CHUNK_EXTENSION,
  TargetFault.ENDLESS_TRAILERS,
  TargetFault.ENDLESS_REJECTION,
  TargetFault.ENDLESS_MISDIRECTED,
  TargetFault.DRIPPING_REJECTION,
  TargetFault.ENDLESS_EMPTY_LINES,
  TargetFault.ENDLESS_COMMENTS,
  TargetFault.ENDLESS_RETRY_LINES,
  TargetFault.ENDLESS_REPEATED_EVENT,
  TargetFault.ENDLESS_EVENT,
  TargetFault.ENDLESS_EVENTS,
  TargetFault.ENDLESS_AFTER_RESPONSE,
]);

/** Returns whether a fault sends bytes until the client closes. */
export function isEndless(fault: TargetFault): boolean {
  return RESPONSES[fault] !== undefined;
}

/**
 * Sends bytes as fast as the client reads, until it closes.
 *
 * @example
 * sendEndlessResponse({req, fault: TargetFault.ENDLESS_HEAD, onBytes: count});
 */
export function sendEndlessResponse(options: {
  req: IncomingMessage;
  fault: TargetFault;
  /** Called with the size of each write. */
  onBytes: (bytes: number) => void;
}): void {
  const {req, fault, onBytes} = options;
  const {socket, headers} = req;
  const attemptId = String(headers[Header.ATTEMPT_ID] ?? '');
  const {start, repeated, isSlow = false} = RESPONSES[fault]!;
  const id = `Attempt-Id: ${attemptId}\r\nServer-Stamp: s\r\n`;
  const count = isSlow ? 1 : Math.ceil(WRITE_BYTES / repeated.length);
  const chunk = Buffer.from(repeated.repeat(count));
  const writeChunk = () => {
    if (socket.destroyed) return;
    onBytes(chunk.length);
    socket.write(chunk, () => {
      if (isSlow) setTimeout(writeChunk, SLOW_PAUSE_MS);
      else setImmediate(writeChunk);
    });
  };
  socket.write(start.replace(ID, id));
  writeChunk();
}

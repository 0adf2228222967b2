/** What a target on the platform answers, with each of its faults. */
import type {IncomingMessage, ServerResponse} from 'node:http';

import {Header} from '../../platform/names.js';

/** What a target does with its next requests. */
export enum TargetFault {
  NONE = 'none',
  /** Answers 500 after it ran. */
  ERROR = 'error',
  /** Says that it has no room. */
  REJECT = 'reject',
  /** Runs, then breaks the connection. */
  CLOSE_CONNECTION = 'cut',
  /** Breaks off half an answer that has no length, with a reset. */
  NO_CONTENT_LENGTH_RESET = 'unframed_reset',
  /** Answers without a length, whole. */
  NO_CONTENT_LENGTH = 'unframed',
  /** Claims a longer body than it sends. */
  TRUNCATED_BODY = 'short',
  /** Answers with the id of another request. */
  WRONG_ATTEMPT_ID = 'foreign',
  /** Answers without proof that the answer is its own. */
  NO_SERVER_STAMP = 'unproven',
  /** Answers twice on one connection. */
  DUPLICATE_RESPONSE = 'twice',
  /** Runs and never answers. */
  HANG = 'hang',
  /** Sends a head without end. */
  ENDLESS_HEAD = 'endless_head',
  /** Sends a body without end, whatever it is asked. */
  ENDLESS_BODY = 'endless_body',
  /** The same as a failure of its own. */
  ENDLESS_FAILURE = 'endless_failure',
  /** Sends bytes that are no answer, without end. */
  ENDLESS_INVALID = 'endless_noise',
  /** Breaks the connections of what runs, and stays up. */
  DROP_STREAMS = 'drop_runs',
}

const ENDLESS: ReadonlySet<TargetFault> = new Set([
  TargetFault.ENDLESS_HEAD,
  TargetFault.ENDLESS_BODY,
  TargetFault.ENDLESS_FAILURE,
  TargetFault.ENDLESS_INVALID,
]);

/** Bytes that an endless answer sends at a time. */
const PIECE_BYTES = 65_536;

/** Whether a fault sends bytes until the caller closes. */
export function isEndless(fault: TargetFault): boolean {
  return ENDLESS.has(fault);
}

/**
 * Answers a plain call, soundly or with a fault.
 *
 * @example
 * answerWith({req, res, fault: Fault.SHORT, id: 'i-1'});
 */
export function sendResponse(options: {
  req: IncomingMessage;
  res: ServerResponse;
  fault: TargetFault;
  /** Id of the target. */
  id: string;
}): void {
  const {req, res, fault, id: targetId} = options;
  const attemptId = String(req.headers[Header.ATTEMPT_ID] ?? '');
  const text = `answer to ${attemptId}`;
  const head = `Attempt-Id: ${attemptId}\r\nServer-Stamp: s-${targetId}\r\n`;
  const {socket} = req;
  const sized = (id: string) =>
    `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Stamp: s\r\n` +
    `Content-Length: ${text.length}\r\n\r\n${text}`;
  switch (fault) {
    case TargetFault.ERROR:
      res.writeHead(500, {
        [Header.ATTEMPT_ID]: attemptId,
        'Server-Stamp': 's',
      });
      res.end('failed');
      break;
    case TargetFault.CLOSE_CONNECTION:
      socket.destroy();
      break;
    case TargetFault.NO_CONTENT_LENGTH_RESET:
      socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n${text.slice(0, 5)}`, () =>
        setTimeout(() => socket.resetAndDestroy(), 10),
      );
      break;
    case TargetFault.NO_CONTENT_LENGTH:
      socket.end(`HTTP/1.1 200 OK\r\n${head}\r\n${text}`);
      break;
    case TargetFault.TRUNCATED_BODY:
      socket.end(
        `HTTP/1.1 200 OK\r\n${head}Content-Length: 900\r\n\r\n${text}`,
      );
      break;
    case TargetFault.WRONG_ATTEMPT_ID:
      socket.write(sized('another'));
      break;
    case TargetFault.NO_SERVER_STAMP:
      res.writeHead(200, {[Header.ATTEMPT_ID]: attemptId});
      res.end(text);
      break;
    case TargetFault.DUPLICATE_RESPONSE:
      socket.write(sized(attemptId));
      setTimeout(() => socket.write(sized(attemptId)), 20);
      break;
    case TargetFault.HANG:
      break;
    default:
      res.writeHead(200, {
        'Attempt-Id': attemptId,
        'Server-Stamp': `s-${targetId}`,
      });
      res.end(text);
  }
}

/**
 * Writes as fast as it is read, until the caller closes.
 *
 * @example
 * sendEndless({req, fault: Fault.ENDLESS_HEAD, onBytes: count});
 */
export function sendEndlessResponse(options: {
  req: IncomingMessage;
  fault: TargetFault;
  /** Told of the bytes of each write. */
  onBytes: (bytes: number) => void;
}): void {
  const {req, fault, onBytes} = options;
  const {socket, headers} = req;
  const attemptId = String(headers[Header.ATTEMPT_ID] ?? '');
  const proof = `Attempt-Id: ${attemptId}\r\nServer-Stamp: s\r\n`;
  const starts: Partial<Record<TargetFault, string>> = {
    [TargetFault.ENDLESS_HEAD]: `HTTP/1.1 200 OK\r\n${proof}X: `,
    [TargetFault.ENDLESS_BODY]: `HTTP/1.1 200 OK\r\n${proof}\r\n`,
    [TargetFault.ENDLESS_FAILURE]: `HTTP/1.1 500 Failed\r\n${proof}\r\n`,
  };
  socket.write(starts[fault] ?? '');
  const piece = Buffer.alloc(PIECE_BYTES, 'x');
  const step = () => {
    if (socket.destroyed) return;
    onBytes(piece.length);
    socket.write(piece, () => setImmediate(step));
  };
  step();
}

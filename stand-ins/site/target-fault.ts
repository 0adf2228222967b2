/** Responses of a target on the platform, correct or with a fault. */
import type {IncomingMessage, ServerResponse} from 'node:http';

import {Header} from '../../platform/names.js';

/** How a target handles its requests. */
export enum TargetFault {
  NONE = 'none',
  /** Runs and responds 500. */
  ERROR = 'error',
  /** Rejects without running, as a target without a free slot does. */
  REJECT = 'reject',
  /**
   * Rejects the first request of a connection, runs the others and sends that
   * rejection once more.
   */
  REPEAT_REJECTION = 'repeat_reject',
  /** The same, without the attempt id of the rejected request. */
  REPEAT_ANONYMOUS_REJECTION = 'repeat_anonymous_reject',
  /** Runs and closes the connection without a response. */
  CLOSE_CONNECTION = 'cut',
  /** Sends part of a response without `Content-Length` and resets. */
  NO_CONTENT_LENGTH_RESET = 'unframed_reset',
  /** Sends a complete response without `Content-Length`. */
  NO_CONTENT_LENGTH = 'unframed',
  /** Rejects the request as invalid, without `Content-Length`. */
  NO_CONTENT_LENGTH_ERROR = 'unframed_error',
  /** Sends less than `Content-Length` and ends the connection. */
  TRUNCATED_BODY = 'short',
  /** Responds with the attempt id of another request. */
  WRONG_ATTEMPT_ID = 'foreign',
  /** Responds without `Server-Stamp`, which identifies a target's response. */
  NO_SERVER_STAMP = 'unproven',
  /** Runs and responds 503, which does not state that it did not run. */
  UNPROVEN_REFUSAL = 'unproven_refusal',
  /** Runs and responds 429, which does not state that it did not run. */
  UNPROVEN_LIMIT = 'unproven_limit',
  /** Runs; a response without id, stamp or proof comes before its own. */
  ANONYMOUS_REFUSAL = 'anonymous_refusal',
  /** The same with status 200 and a stamp. */
  ANONYMOUS_SUCCESS = 'anonymous_success',
  /** Sends two responses to one request. */
  DUPLICATE_RESPONSE = 'twice',
  /** Runs and ends the connection inside the head of its response. */
  CUT_HEAD = 'cut_head',
  /** Runs and never responds. */
  HANG = 'hang',
  /** Sends a response header that never ends. */
  ENDLESS_HEAD = 'endless_head',
  /** Sends a response body that never ends. */
  ENDLESS_BODY = 'endless_body',
  /** Sends a 500 response whose body never ends. */
  ENDLESS_FAILURE = 'endless_failure',
  /** Sends bytes that are not HTTP and never end. */
  ENDLESS_INVALID = 'endless_noise',
  /** Sends a status line that never ends. */
  ENDLESS_STATUS_LINE = 'endless_status_line',
  /** Sends informational responses and no other. */
  ENDLESS_INFORMATIONAL = 'endless_informational',
  /** Sends a response body without end in chunks of one byte. */
  ENDLESS_CHUNKS = 'endless_chunks',
  /** The same in the body of a 500 response. */
  ENDLESS_FAILURE_CHUNKS = 'endless_failure_chunks',
  /** Sends an extension of a chunk that never ends. */
  ENDLESS_CHUNK_EXTENSION = 'endless_chunk_extension',
  /** Sends trailers without end. */
  ENDLESS_TRAILERS = 'endless_trailers',
  /** Rejects with a body without end in chunks of one byte. */
  ENDLESS_REJECTION = 'endless_rejection',
  /** Rejects as another target would, with a body without end. */
  ENDLESS_MISDIRECTED = 'endless_misdirected',
  /** Rejects with a body of which a byte comes now and then. */
  DRIPPING_REJECTION = 'dripping_rejection',
  /** Sends a stream of empty lines. */
  ENDLESS_EMPTY_LINES = 'endless_empty_lines',
  /** Sends a stream of comments. */
  ENDLESS_COMMENTS = 'endless_comments',
  /** Sends a stream of `retry:` lines. */
  ENDLESS_RETRY_LINES = 'endless_retry_lines',
  /** Sends one event again and again. */
  ENDLESS_REPEATED_EVENT = 'endless_repeated_event',
  /** Sends an event that never ends, in chunks of a few bytes. */
  ENDLESS_EVENT = 'endless_event',
  /** Sends events without ids and without end. */
  ENDLESS_EVENTS = 'endless_events',
  /** Sends line breaks without end after a complete response. */
  ENDLESS_AFTER_RESPONSE = 'endless_after_response',
  /** Runs each stream and loses its response; the connection stays open. */
  LOSE_STREAMS = 'lose_runs',
  /** Sends single bytes after the first events of each stream, and no event. */
  DRIP_STREAMS = 'drip_runs',
  /** Closes the connection of each stream; the target stays up. */
  DROP_STREAMS = 'drop_runs',
}

/** Returns whether a target sends earlier rejections once more. */
export function repeatsRejections(fault: TargetFault): boolean {
  return (
    fault === TargetFault.REPEAT_REJECTION ||
    fault === TargetFault.REPEAT_ANONYMOUS_REJECTION
  );
}

/** Encodes the rejection of a request, with its attempt id if it is given. */
export function encodeRejection(attemptId?: string): string {
  const id = attemptId === undefined ? '' : `Attempt-Id: ${attemptId}\r\n`;
  return (
    `HTTP/1.1 503 Full\r\n${id}Not-Executed: 1\r\n` +
    'Content-Length: 0\r\n\r\n'
  );
}

const STREAM_FAULTS: ReadonlySet<TargetFault> = new Set([
  TargetFault.NONE,
  TargetFault.LOSE_STREAMS,
  TargetFault.DRIP_STREAMS,
  TargetFault.DROP_STREAMS,
]);

/** Returns whether a target still responds with streams. */
export function allowsStreams(fault: TargetFault): boolean {
  return STREAM_FAULTS.has(fault);
}

/** Events of a stream before it sends single bytes only. */
export const EVENTS_BEFORE_DRIP = 3;

/**
 * Responds to a plain call, correctly or with a fault.
 *
 * @example
 * sendResponse({req, res, fault: TargetFault.TRUNCATED_BODY, id: 'i-1'});
 */
export function sendResponse(options: {
  req: IncomingMessage;
  res: ServerResponse;
  fault: TargetFault;
  /** Id of the target. */
  id: string;
  /** Bytes of the head that `CUT_HEAD` sends. */
  headBytes?: number;
  /** Smallest size of the body, in bytes. */
  bodyBytes?: number;
}): void {
  const {req, res, fault, id: targetId, bodyBytes = 0} = options;
  const attemptId = String(req.headers[Header.ATTEMPT_ID] ?? '');
  const text = `answer to ${attemptId}`.padEnd(bodyBytes);
  const head = `Attempt-Id: ${attemptId}\r\nServer-Stamp: s-${targetId}\r\n`;
  const {socket} = req;
  const withContentLength = (id: string) =>
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
    case TargetFault.NO_CONTENT_LENGTH_ERROR:
      socket.end(`HTTP/1.1 422 Invalid\r\n${head}\r\n${text}`);
      break;
    case TargetFault.TRUNCATED_BODY:
      socket.end(
        `HTTP/1.1 200 OK\r\n${head}Content-Length: 900\r\n\r\n${text}`,
      );
      break;
    case TargetFault.WRONG_ATTEMPT_ID:
      socket.write(withContentLength('another'));
      break;
    case TargetFault.NO_SERVER_STAMP:
      res.writeHead(200, {[Header.ATTEMPT_ID]: attemptId});
      res.end(text);
      break;
    case TargetFault.DUPLICATE_RESPONSE:
      socket.write(withContentLength(attemptId));
      setTimeout(() => socket.write(withContentLength(attemptId)), 20);
      break;
    case TargetFault.UNPROVEN_REFUSAL:
      socket.write(`HTTP/1.1 503 Busy\r\n${head}Content-Length: 0\r\n\r\n`);
      break;
    case TargetFault.UNPROVEN_LIMIT:
      socket.write(`HTTP/1.1 429 Busy\r\n${head}Content-Length: 0\r\n\r\n`);
      break;
    case TargetFault.ANONYMOUS_REFUSAL:
      socket.write('HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n');
      socket.write(withContentLength(attemptId));
      break;
    case TargetFault.ANONYMOUS_SUCCESS:
      socket.write(
        'HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Length: 3\r\n\r\nold',
      );
      socket.write(withContentLength(attemptId));
      break;
    case TargetFault.CUT_HEAD:
      socket.end(withContentLength(attemptId).slice(0, options.headBytes));
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

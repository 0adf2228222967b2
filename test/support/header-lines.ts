/** Responses whose header lines take more memory than their bytes. */
import type {Socket} from 'node:net';

/** Forms of a response of many header lines. */
export enum LineForm {
  /** Lines without values in a head that does not end. */
  HEAD = 'head',
  /** The same, with values. */
  VALUES = 'head with values',
  /** The same, after an informational response. */
  AFTER_INFORMATIONAL = 'head after an informational response',
  /** Lines of an informational response that does not end. */
  INFORMATIONAL = 'informational response',
  /** A head that ends before a body that does not. */
  ENDED_HEAD = 'head that ends',
  /** Lines after the last chunk of a body. */
  TRAILERS = 'trailers',
  /** One line, continued on many others. */
  FOLDED = 'folded lines',
  /** A line now and then. */
  SLOW = 'slow head',
  /** A byte now and then. */
  SLOW_BYTES = 'slow head of single bytes',
}

/** Lines of one write, in about 60 KB. */
const LINES = 15_000;

/** Pause after each part of a slow response, in milliseconds. */
const SLOW_PAUSE_MS = 20;

const OK = 'HTTP/1.1 200 OK\r\n';

const ID = 'Attempt-Id: a-1\r\nServer-Stamp: s\r\nInstance-Id: i-1\r\n';

const BARE = 'a:\r\n'.repeat(LINES);

const VALUED = 'a:b\r\n'.repeat(LINES / 2);

const STARTS: Record<LineForm, string> = {
  [LineForm.HEAD]: OK + ID + BARE,
  [LineForm.VALUES]: OK + ID + VALUED,
  [LineForm.AFTER_INFORMATIONAL]: `HTTP/1.1 102 Wait\r\n\r\n${OK}${ID}${BARE}`,
  [LineForm.INFORMATIONAL]: `HTTP/1.1 102 Wait\r\n${BARE}`,
  [LineForm.ENDED_HEAD]: `${OK}${ID}${VALUED}Content-Length: 9000\r\n\r\n`,
  [LineForm.TRAILERS]:
    `${OK}${ID}Transfer-Encoding: chunked\r\n\r\n` + `1\r\nx\r\n0\r\n${BARE}`,
  [LineForm.FOLDED]: `${OK}${ID}a: b\r\n${' c\r\n'.repeat(LINES)}`,
  [LineForm.SLOW]: OK + ID,
  [LineForm.SLOW_BYTES]: OK + ID,
};

/** What is sent again and again, slowly; by default a line. */
const REPEATED: Partial<Record<LineForm, string>> = {
  [LineForm.ENDED_HEAD]: 'x',
  [LineForm.SLOW_BYTES]: 'a',
};

/**
 * Sends a response of a form, and goes on slowly until the client closes.
 *
 * @example
 * server.on('request', ({socket}) => sendLines(socket, LineForm.HEAD));
 */
export function sendLines(socket: Socket, form: LineForm): void {
  const repeated = REPEATED[form] ?? 'a:\r\n';
  socket.setNoDelay(true);
  socket.write(STARTS[form]);
  const timer = setInterval(() => socket.write(repeated), SLOW_PAUSE_MS);
  socket.once('close', () => clearInterval(timer));
}

/** Opens connections whose responses are bounded and whose resets fail. */
import {buildConnector, errors} from 'undici';

import type {MemoryBudget} from '../core/bytes/index.js';
import {scheduleTimer} from '../core/clock/index.js';
import {BoundedSocket} from './bounded-socket.js';

/** Code of a reset that undici takes for the end of a body without length. */
const RESET_CODE = 'ECONNRESET';

/** Code that undici treats like any other error of a socket. */
const FAILED_RESET_CODE = 'ERR_CONNECTION_RESET';

/** Idle time after which the system probes a connection, in milliseconds. */
const KEEP_ALIVE_DELAY_MS = 60_000;

const HTTP_PORT = 80;

const TLS_PROTOCOL = 'https:';

/** Options of a connector. */
export interface ConnectorOptions {
  readonly timeoutMs: number;
  /** Bytes that one response may take on the connection, before grants. */
  readonly responseBytes: number;
  /** Where the memory of header lines is reserved; by default nowhere. */
  readonly memory?: MemoryBudget;
  /** Called with each socket once it is connected. */
  readonly onConnected?: (socket: BoundedSocket) => void;
}

/**
 * Creates a connector for undici's clients and agents. TLS, which only the
 * command-line tool uses, is left to undici.
 *
 * A body without length and chunks ends with its connection. After a reset,
 * undici reports such a body as complete, although its rest is lost.
 *
 * @example
 * const connect = createConnector({timeoutMs: 1_000, responseBytes: 65_536});
 * const agent = new Agent({connect});
 */
export function createConnector(
  options: ConnectorOptions,
): buildConnector.connector {
  const {timeoutMs, responseBytes, memory, onConnected} = options;
  const connectTls = buildConnector({timeout: timeoutMs});
  return (target, callback) => {
    if (target.protocol === TLS_PROTOCOL) {
      connectTls(target, callback);
      return;
    }
    const {hostname, port} = target;
    const socket = new BoundedSocket({responseBytes, memory});
    const timer = scheduleTimer({
      delayMs: timeoutMs,
      run: () => socket.destroy(new errors.ConnectTimeoutError()),
    });
    const onFailed = (err: Error) => {
      timer.cancel();
      callback(err, null);
    };
    socket.once('error', onFailed);
    socket.once('connect', () => {
      timer.cancel();
      socket.off('error', onFailed);
      socket.on('error', hideReset);
      onConnected?.(socket);
      callback(null, socket);
    });
    socket.setNoDelay(true);
    socket.setKeepAlive(true, KEEP_ALIVE_DELAY_MS);
    socket.connect({host: hostname, port: Number(port) || HTTP_PORT});
  };
}

/** Runs before undici's listener, which is added after the connection. */
function hideReset(err: NodeJS.ErrnoException): void {
  if (err.code === RESET_CODE) err.code = FAILED_RESET_CODE;
}

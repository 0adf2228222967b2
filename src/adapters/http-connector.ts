/** Opens connections on which a reset always fails the response. */
import type {Socket} from 'node:net';

import {buildConnector} from 'undici';

/** Code of a reset that undici takes for the end of a body without length. */
const RESET_CODE = 'ECONNRESET';

/** Code that undici treats like any other error of a socket. */
const FAILED_RESET_CODE = 'ERR_CONNECTION_RESET';

/** Options of a connector. */
export interface ConnectorOptions {
  readonly timeoutMs: number;
  /** Called with each socket once it is connected. */
  readonly onConnected?: (socket: Socket) => void;
}

/**
 * Creates a connector for undici's clients and agents.
 *
 * A body without length and chunks ends with its connection. After a reset,
 * undici reports such a body as complete, although its rest is lost.
 *
 * @example
 * const agent = new Agent({connect: createConnector({timeoutMs: 1_000})});
 */
export function createConnector(
  options: ConnectorOptions,
): buildConnector.connector {
  const connect = buildConnector({timeout: options.timeoutMs});
  return (target, callback) => {
    connect(target, (...[err, socket]) => {
      if (err !== null) {
        callback(err, null);
        return;
      }
      socket.on('error', hideReset);
      options.onConnected?.(socket);
      callback(null, socket);
    });
  };
}

/** Runs before undici's listener, which is added after the connection. */
function hideReset(err: NodeJS.ErrnoException): void {
  if (err.code === RESET_CODE) err.code = FAILED_RESET_CODE;
}

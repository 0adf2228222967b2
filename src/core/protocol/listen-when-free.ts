/** Starts to listen on an address that may still be in use for a moment. */
import type {AddressInfo, ListenOptions, Server} from 'node:net';

import type {Clock} from '../clock/index.js';
import {sleep} from '../clock/index.js';
import type {Logger} from '../logs/index.js';

/** Time between two attempts, in milliseconds. */
const RETRY_MS = 25;

/** Attempts after which it is logged that the address is still in use. */
const ATTEMPTS_PER_LOG_LINE = 40;

/** Codes of errors that end once a former process is gone. */
const TRANSIENT_CODES: ReadonlySet<string> = new Set([
  'EADDRINUSE',
  'EADDRNOTAVAIL',
]);

/**
 * Listens as soon as the address is free, and returns the port. Rejects with
 * any other error. Later errors of the server, such as an accept that fails for
 * want of descriptors, are left to the next accept.
 *
 * @example
 * const port = await listenWhenFree({server, address, clock, logger});
 */
export async function listenWhenFree(options: {
  server: Server;
  address: ListenOptions;
  clock: Clock;
  logger: Logger;
}): Promise<number> {
  const {server, address, clock, logger} = options;
  server.on('error', () => undefined);
  for (let attempt = 0; ; attempt++) {
    const err = await tryListen(server, address);
    if (err === undefined) return (server.address() as AddressInfo).port;
    if (!TRANSIENT_CODES.has(err.code ?? '')) throw err;
    if (attempt % ATTEMPTS_PER_LOG_LINE === 0) {
      logger.warn('address in use, waiting for it', {
        port: address.port,
        code: err.code,
      });
    }
    await sleep(clock, RETRY_MS);
  }
}

/**
 * Listens and returns the port; rejects if the address is in use.
 *
 * @example
 * const port = await listenOnce(server, {host: '127.0.0.1', port: 0});
 */
export async function listenOnce(
  server: Server,
  address: ListenOptions,
): Promise<number> {
  const err = await tryListen(server, address);
  if (err !== undefined) throw err;
  return (server.address() as AddressInfo).port;
}

/** Resolves to the error, if there is one. */
function tryListen(
  server: Server,
  address: ListenOptions,
): Promise<NodeJS.ErrnoException | undefined> {
  return new Promise((resolve) => {
    const onError = (err: Error) => {
      server.off('listening', onListening);
      resolve(err);
    };
    const onListening = () => {
      server.off('error', onError);
      resolve(undefined);
    };
    server.once('error', onError);
    server.once('listening', onListening);
    server.listen(address);
  });
}

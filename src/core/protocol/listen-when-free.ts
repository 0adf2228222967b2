/** Starts to listen on an address that may still be in use for a moment. */
import type {AddressInfo, ListenOptions, Server} from 'node:net';

import type {Clock} from '../clock/index.js';
import {sleep} from '../clock/index.js';
import type {Logger} from '../logs/index.js';

/** Time between two attempts, in milliseconds. */
const RETRY_MS = 25;

/** Attempts after which it is logged that the address is still in use. */
const ATTEMPTS_PER_LOG_LINE = 40;

/** Codes of errors that pass, as when a former process is gone. */
const TRANSIENT_CODES: ReadonlySet<string> = new Set([
  'EADDRINUSE',
  'EADDRNOTAVAIL',
  'EMFILE',
  'ENFILE',
  'ENOBUFS',
  'ENOMEM',
]);

/** Settings name an address on which this machine can never listen. */
export class CannotListenError extends Error {
  override readonly name = 'CannotListenError';
}

/**
 * Listens as soon as the address is free, and returns the port. Rejects with a
 * CannotListenError if waiting is of no use. Later errors of the server, such as
 * an accept that fails for want of descriptors, are left to the next accept.
 *
 * @example
 * const addressOf = () => settings.readiness;
 * const port = await listenWhenFree({server, addressOf, clock, logger});
 */
export async function listenWhenFree(options: {
  server: Server;
  /** Called for each attempt, as settings may change while it waits. */
  addressOf: () => ListenOptions;
  clock: Clock;
  logger: Logger;
}): Promise<number> {
  const {server, addressOf, clock, logger} = options;
  server.on('error', () => undefined);
  for (let attempt = 0; ; attempt++) {
    const address = addressOf();
    const err = await tryListen(server, address);
    if (err === undefined) return (server.address() as AddressInfo).port;
    if (!TRANSIENT_CODES.has(err.code ?? ''))
      throw new CannotListenError(err.message);
    if (attempt % ATTEMPTS_PER_LOG_LINE === 0) {
      logger.warn('address in use, waiting for it', {
        host: address.host,
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

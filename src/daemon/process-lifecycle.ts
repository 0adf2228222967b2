/** Startup and shutdown shared by both roles: listening, signals and exit. */
import {createOperatorsApp} from '../adapters/http-operators.js';
import type {HttpListener} from '../adapters/http-server.js';
import {listenHttp} from '../adapters/http-server.js';
import type {OperatorHandler} from '../core/edges/index.js';
import type {Logger} from '../core/logs/index.js';
import type {DaemonSettings} from '../core/settings/index.js';
import {EXIT_CANNOT_LISTEN, EXIT_FLUSH_MS} from './consts.js';

/** Ports that a process listens on, as printed to standard output. */
export interface ReadyLine {
  readonly vm: string;
  readonly operatorsPort: number;
  readonly peersPort?: number;
  readonly callersPort?: number;
}

/** Starts the operators' server; SIGTERM and SIGINT start a drain. */
export async function startOperatorsServer(options: {
  handler: OperatorHandler;
  settings: DaemonSettings;
}): Promise<HttpListener> {
  const {handler, settings} = options;
  process.on('SIGTERM', () => handler.drain());
  process.on('SIGINT', () => handler.drain());
  const app = createOperatorsApp({handler});
  return listenHttp({app, ...settings.operators});
}

/** Prints a line of JSON once the process listens, for its supervisor. */
export function printReadyLine(line: ReadyLine): void {
  process.stdout.write(`${JSON.stringify({ready: true, ...line})}\n`);
}

/**
 * Ends the process once the last responses are sent, including those to
 * requests that arrived shortly before the listener was closed.
 */
export function exitAfterFlush(options: {
  stop: () => void;
  callers?: HttpListener;
}): void {
  const {stop, callers} = options;
  callers?.close();
  const exitIfIdle = (): void => {
    if (callers !== undefined && callers.countOpen() > 0) {
      setTimeout(exitIfIdle, EXIT_FLUSH_MS);
      return;
    }
    stop();
    process.exit(0);
  };
  setTimeout(exitIfIdle, EXIT_FLUSH_MS);
}

/** Logs that the process cannot listen, and ends it. */
export function exitCannotListen(logger: Logger, cause: unknown): never {
  logger.error('cannot listen', {detail: String(cause)});
  process.exit(EXIT_CANNOT_LISTEN);
}

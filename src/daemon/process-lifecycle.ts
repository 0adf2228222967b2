/** What both roles share: listening, signals and the end of the process. */
import {createOperatorsApp} from '../adapters/http-operators.js';
import type {HttpListener} from '../adapters/http-server.js';
import {listenHttp} from '../adapters/http-server.js';
import type {OperatorHandler} from '../core/edges/index.js';
import type {Logger} from '../core/logs/index.js';
import type {DaemonSettings} from '../core/settings/index.js';
import {EXIT_CANNOT_LISTEN, EXIT_FLUSH_MS} from './consts.js';

/** Ports that a process listens on, told on standard output. */
export interface ReadyLine {
  readonly vm: string;
  readonly operatorsPort: number;
  readonly peersPort?: number;
  readonly callersPort?: number;
}

/** Opens the operators' edge and lets signals begin a drain. */
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

/** Tells whoever started the process that it listens. */
export function printReadyLine(line: ReadyLine): void {
  process.stdout.write(`${JSON.stringify({ready: true, ...line})}\n`);
}

/**
 * Ends the process after the last answers have left. Callers that came in
 * the last moment are waited for.
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

/** Ends the process because it cannot listen. */
export function exitCannotListen(logger: Logger, cause: unknown): never {
  logger.error('cannot listen', {detail: String(cause)});
  process.exit(EXIT_CANNOT_LISTEN);
}

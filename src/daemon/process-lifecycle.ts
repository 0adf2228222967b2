/** Startup and shutdown of entries and agents: listening, signals and exit. */
import {createOperatorsApp} from '../adapters/http-operators.js';
import type {HttpListener} from '../adapters/http-server.js';
import {listenHttp} from '../adapters/http-server.js';
import type {OperatorHandler} from '../core/edges/index.js';
import type {Logger} from '../core/logs/index.js';
import type {DaemonSettings} from '../core/settings/index.js';
import {EXIT_CANNOT_LISTEN, EXIT_FLUSH_MS} from './consts.js';
import type {StartupSignals} from './startup-signals.js';

/** The line that a process prints to standard output once it listens. */
export interface ReadyLine {
  readonly vm: string;
  readonly operatorsPort: number;
  readonly peersPort?: number;
  /** Undefined for an agent. */
  readonly callersPort?: number;
}

/**
 * Takes over the signals: SIGTERM and SIGINT start a drain, SIGHUP is logged, as
 * the settings are read at the start only. Call it before the process takes work.
 *
 * @example
 * handleSignals({handler: agent, logger, startupSignals});
 */
export function handleSignals(options: {
  handler: OperatorHandler;
  logger: Logger;
  startupSignals: StartupSignals;
}): void {
  const {handler, logger, startupSignals} = options;
  process.on('SIGTERM', () => handler.drain());
  process.on('SIGINT', () => handler.drain());
  process.on('SIGHUP', () => logger.info('reload ignored'));
  startupSignals.remove();
}

/**
 * Starts the operators' server.
 *
 * @example
 * const operators = await startOperatorsServer({handler: agent, settings});
 */
export async function startOperatorsServer(options: {
  handler: OperatorHandler;
  settings: DaemonSettings;
}): Promise<HttpListener> {
  const {handler, settings} = options;
  const app = createOperatorsApp({handler});
  return listenHttp({app, ...settings.operators});
}

/**
 * Prints the ready line as JSON, for the supervisor of the process.
 *
 * @example
 * // {"ready":true,"vm":"agent-1","operatorsPort":7002}
 * printReadyLine({vm: 'agent-1', operatorsPort: 7002});
 */
export function printReadyLine(line: ReadyLine): void {
  process.stdout.write(`${JSON.stringify({ready: true, ...line})}\n`);
}

/**
 * Ends the process once the last responses are sent, including those to
 * requests that arrived shortly before the listener was closed.
 *
 * @example
 * const onDrained = () => exitAfterFlush({stop: () => entry.stop(), callers});
 */
export function exitAfterFlush(options: {
  stop: () => void;
  /** Listener of an entry; undefined for an agent. */
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

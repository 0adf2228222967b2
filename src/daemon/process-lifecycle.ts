/** Startup and shutdown of entries and agents: listening, signals and exit. */
import {createOperatorsApp} from '../adapters/http-operators.js';
import type {HttpListener} from '../adapters/http-server.js';
import {listenHttp} from '../adapters/http-server.js';
import type {Clock} from '../core/clock/index.js';
import type {ConnectionTable} from '../core/connections/index.js';
import type {OperatorHandler} from '../core/edges/index.js';
import type {Logger} from '../core/logs/index.js';
import type {DaemonSettings} from '../core/settings/index.js';
import type {Supervisor} from '../core/supervision/index.js';
import {TaskName} from '../core/supervision/index.js';
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
 * handleSignals({handler: agent, logger, supervisor, startupSignals});
 */
export function handleSignals(options: {
  handler: OperatorHandler;
  logger: Logger;
  supervisor: Supervisor;
  startupSignals: StartupSignals;
}): void {
  const {handler, logger, supervisor, startupSignals} = options;
  const drain = supervisor.guard({name: TaskName.SHUTDOWN}, () =>
    handler.drain(),
  );
  const reload = supervisor.guard({name: TaskName.SETTINGS}, () =>
    logger.info('reload ignored'),
  );
  process.on('SIGTERM', () => drain());
  process.on('SIGINT', () => drain());
  process.on('SIGHUP', () => reload());
  startupSignals.remove();
}

/**
 * Starts the operators' server once its address is free.
 *
 * @example
 * const edges = {clock, logger, supervisor};
 * await startOperatorsServer({handler: agent, settings, ...edges});
 */
export async function startOperatorsServer(options: {
  handler: OperatorHandler;
  settings: DaemonSettings;
  clock: Clock;
  logger: Logger;
  supervisor: Supervisor;
  /** Bounds the connections of the process. */
  table: ConnectionTable;
}): Promise<HttpListener> {
  const {handler, settings, ...edges} = options;
  const app = createOperatorsApp({handler, supervisor: edges.supervisor});
  return listenHttp({app, ...settings.operators, ...edges});
}

/**
 * Prints the ready line as JSON, for the supervisor of the process.
 *
 * @example
 * // {"ready":true,"vm":"agent-1","operatorsPort":7002}
 * printReadyLine({vm: 'agent-1', operatorsPort: 7002});
 */
export function printReadyLine(line: ReadyLine): void {
  // A reader that has gone away ends nothing.
  process.stdout.on('error', () => undefined);
  process.stdout.write(`${JSON.stringify({ready: true, ...line})}\n`);
}

/**
 * Ends the process once the last responses are sent, including those to
 * requests that arrived shortly before the listener was closed.
 *
 * @example
 * const stop = () => entry.stop();
 * const onDrained = () => exitAfterFlush({stop, supervisor, callers});
 */
export function exitAfterFlush(options: {
  stop: () => void;
  supervisor: Supervisor;
  /** Listener of an entry; undefined for an agent. */
  callers?: HttpListener;
}): void {
  const {stop, supervisor, callers} = options;
  const task = {name: TaskName.SHUTDOWN};
  supervisor.run(task, () => callers?.close());
  const exitIfIdle = (): void => {
    if (callers !== undefined && callers.countOpen() > 0) {
      setTimeout(exitIfIdle, EXIT_FLUSH_MS);
      return;
    }
    supervisor.run(task, stop);
    process.exit(0);
  };
  setTimeout(exitIfIdle, EXIT_FLUSH_MS);
}

/** Logs that the process cannot listen, and ends it. */
export function exitCannotListen(logger: Logger, cause: unknown): never {
  logger.error('cannot listen', {detail: String(cause)});
  // The logger writes later than the process exits.
  process.stderr.write(`cannot listen: ${String(cause)}\n`);
  process.exit(EXIT_CANNOT_LISTEN);
}

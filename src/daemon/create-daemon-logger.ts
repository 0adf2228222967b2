/** The logger of `plantainrilld`. */
import {SystemClock} from '../core/clock/index.js';
import type {Logger} from '../core/logs/index.js';
import {BoundedSink, createLogger} from '../core/logs/index.js';
import type {Metrics} from '../core/metrics/index.js';
import {CounterName} from '../core/metrics/index.js';
import type {DaemonSettings} from '../core/settings/index.js';

const STDERR = 2;

/**
 * Creates a logger that writes to standard error, and that drops lines which
 * nobody reads any more.
 *
 * @example
 * const logger = createDaemonLogger({settings, metrics});
 */
export function createDaemonLogger(options: {
  settings: DaemonSettings;
  metrics: Metrics;
}): Logger {
  const {settings, metrics} = options;
  const sink = new BoundedSink({
    fd: STDERR,
    clock: new SystemClock(),
    onDropped: () => metrics.count(CounterName.LOG_LINES_DROPPED),
  });
  return createLogger({...settings, sink});
}

/** A supervisor for parts that are tested without a process. */
import type {Clock} from '../../src/core/clock/index.js';
import {SystemClock} from '../../src/core/clock/index.js';
import type {Logger} from '../../src/core/logs/index.js';
import {SILENT_LOGGER} from '../../src/core/logs/index.js';
import {Metrics} from '../../src/core/metrics/index.js';
import {Supervisor} from '../../src/core/supervision/index.js';

/**
 * Creates a supervisor whose counters nobody reads.
 *
 * @example
 * new OutageGate({clock, supervisor: silentSupervisor(clock)});
 */
export function silentSupervisor(
  clock: Clock = new SystemClock(),
  logger: Logger = SILENT_LOGGER,
): Supervisor {
  return new Supervisor({clock, metrics: new Metrics(), logger});
}

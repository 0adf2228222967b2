/** A supervisor whose log lines are dropped. */
import type {Clock} from '../../src/core/clock/index.js';
import {SystemClock} from '../../src/core/clock/index.js';
import {SILENT_LOGGER} from '../../src/core/logs/index.js';
import {Metrics} from '../../src/core/metrics/index.js';
import {Supervisor} from '../../src/core/supervision/index.js';

/**
 * Creates a supervisor for parts that are tested without a process.
 *
 * @example
 * new OutageGate({clock, supervisor: silentSupervisor(clock)});
 */
export function silentSupervisor(clock: Clock = new SystemClock()): Supervisor {
  return new Supervisor({
    clock,
    metrics: new Metrics(),
    logger: SILENT_LOGGER,
  });
}

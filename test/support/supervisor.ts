/** Supervisors of tests, with what they recorded. */
import type {Clock} from '../../src/core/clock/index.js';
import type {Logger} from '../../src/core/logs/index.js';
import {SILENT_LOGGER} from '../../src/core/logs/index.js';
import {Metrics} from '../../src/core/metrics/index.js';
import {Supervisor} from '../../src/core/supervision/index.js';

/**
 * Creates a supervisor whose failures nobody reads.
 *
 * @example
 * const drain = new DrainController({...options, supervisor: supervise(clock)});
 */
export function supervise(
  clock: Clock,
  logger: Logger = SILENT_LOGGER,
): Supervisor {
  return new Supervisor({clock, metrics: new Metrics(), logger});
}

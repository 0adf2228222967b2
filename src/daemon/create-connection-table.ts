/** Creates the bounds of a daemon's connections from its settings. */
import {readDescriptorLimit} from '../adapters/bounded-server/index.js';
import type {Clock} from '../core/clock/index.js';
import {ConnectionTable, deriveLimits} from '../core/connections/index.js';
import type {Logger} from '../core/logs/index.js';
import type {Metrics} from '../core/metrics/index.js';
import type {DaemonSettings} from '../core/settings/index.js';

const BYTES_PER_MB = 1024 * 1024;

const DEFAULT_MEMORY_MB = 200;

/**
 * Creates the table that all listeners of a daemon share.
 *
 * @example
 * const table = createConnectionTable({settings, clock, metrics, logger});
 */
export function createConnectionTable(options: {
  settings: DaemonSettings;
  clock: Clock;
  metrics: Metrics;
  logger: Logger;
}): ConnectionTable {
  const {settings, ...edges} = options;
  const limits = deriveLimits({
    memoryBytes: (settings.memoryMb ?? DEFAULT_MEMORY_MB) * BYTES_PER_MB,
    descriptors: readDescriptorLimit(),
    maxConnections: settings.maxConnections,
    unreadTimeoutMs: settings.unreadTimeoutMs,
  });
  return new ConnectionTable({limits, ...edges});
}

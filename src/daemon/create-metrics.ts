import {CounterName, Metrics} from '../core/metrics/index.js';
import {TransportErrorKind} from '../core/protocol/index.js';

/** Creates the metrics of a process; each known label begins at 0. */
export function createMetrics(): Metrics {
  const metrics = new Metrics();
  metrics.declareLabels({
    name: CounterName.CONNECTIONS_CLOSED,
    labels: Object.values(TransportErrorKind),
  });
  return metrics;
}

import {StoreVerb} from '../adapters/counted-store.js';
import {RereadCause} from '../core/copies/index.js';
import {StoreErrorKind} from '../core/edges/index.js';
import {CounterName, Metrics} from '../core/metrics/index.js';
import {TransportErrorKind} from '../core/protocol/index.js';

/** Creates the metrics of a process; counters of known labels start at 0. */
export function createMetrics(): Metrics {
  const metrics = new Metrics();
  metrics.declareLabels({
    name: CounterName.CONNECTIONS_CLOSED,
    labels: Object.values(TransportErrorKind),
  });
  metrics.declareLabels({
    name: CounterName.STORE_CALLS,
    labels: Object.values(StoreVerb),
  });
  metrics.declareLabels({
    name: CounterName.STORE_ERRORS,
    labels: Object.values(StoreErrorKind),
  });
  metrics.declareLabels({
    name: CounterName.TOKENS_REREAD,
    labels: Object.values(RereadCause),
  });
  return metrics;
}

/** What the parts of a direct entry share. */
import type {Clock, RandomSource} from '../core/clock/index.js';
import type {
  CallerRequest,
  CallerResponse,
} from '../core/edges/direct-caller.js';
import type {DirectTargets} from '../core/edges/direct-target.js';
import type {Logger} from '../core/logs/index.js';
import type {Quarantine} from '../core/poison/index.js';
import type {Metrics} from '../core/metrics/index.js';
import type {AdmittedRequest, RoutedService} from '../core/routes/index.js';
import type {TargetSet} from '../core/targets/index.js';
import type {LossTracker} from './poison/loss-tracker.js';
import type {Prober} from './prober.js';
import type {ServiceRetryBudgets} from './service-retry-budgets.js';
import type {StreamDurations} from './streams/stream-durations.js';

/** Shared by all requests of an entry. */
export interface DirectContext {
  readonly dataCentre: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly targets: TargetSet;
  readonly client: DirectTargets;
  readonly prober: Prober;
  /** How long generations take, by service. */
  readonly streamDurations: StreamDurations;
  readonly retryBudgets: ServiceRetryBudgets;
  /** Targets that requests lost, here and at the other entries. */
  readonly lossTracker: LossTracker;
  /** Requests that this entry, or another, found to end targets. */
  readonly quarantine: Quarantine;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** One request that was let in. */
export interface DirectWork {
  readonly req: CallerRequest;
  readonly res: CallerResponse;
  readonly admitted: AdmittedRequest;
  readonly service: RoutedService;
  /** When the caller's or the route's time is over, on the process's clock. */
  readonly deadlineAtMs: number;
}

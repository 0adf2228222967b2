/** Dependencies shared by the parts of a direct entry. */
import type {MemoryBudget} from '../core/bytes/index.js';
import type {Clock, RandomSource} from '../core/clock/index.js';
import type {
  CallerRequest,
  CallerResponse,
} from '../core/edges/direct-caller.js';
import type {DirectTargets} from '../core/edges/direct-target.js';
import type {Logger} from '../core/logs/index.js';
import type {Quarantine} from '../core/poison/index.js';
import type {Metrics} from '../core/metrics/index.js';
import type {Supervisor} from '../core/supervision/index.js';
import type {AdmittedRequest, RoutedService} from '../core/routes/index.js';
import type {TargetSet} from '../core/targets/index.js';
import type {CallQueues} from './call-queues.js';
import type {GracePeriod} from './grace-period.js';
import type {LimitKeeper} from './limits/limit-keeper.js';
import type {LossTracker} from './poison/loss-tracker.js';
import type {Prober} from './prober.js';
import type {RequestBoundary} from './request-boundary.js';
import type {GenerationRooms} from './room/generation-rooms.js';
import type {ServiceRetryBudgets} from './service-retry-budgets.js';
import type {MinGenerationTimes} from './streams/min-generation-times.js';

/** Dependencies of the request handlers of an entry. */
export interface DirectContext {
  readonly dataCentre: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly targets: TargetSet;
  readonly client: DirectTargets;
  readonly prober: Prober;
  /** Time that a planned stop leaves. */
  readonly grace: GracePeriod;
  /** Shortest generation times, estimated for each service. */
  readonly minGenerationTimes: MinGenerationTimes;
  readonly retryBudgets: ServiceRetryBudgets;
  /** Generations that run or wait for room, by service. */
  readonly room: GenerationRooms;
  /** Plain calls that wait for room at their targets. */
  readonly callQueues: CallQueues;
  /** Limits of targets on the requests from all entries. */
  readonly limits: LimitKeeper;
  /** Targets lost while they ran requests, at this and other entries. */
  readonly lossTracker: LossTracker;
  /** Requests that crash their targets, as found by any entry. */
  readonly quarantine: Quarantine;
  /** Memory for all messages that the process holds. */
  readonly memory: MemoryBudget;
  readonly metrics: Metrics;
  readonly logger: Logger;
  /** Bounds what an exception ends. */
  readonly supervisor: Supervisor;
}

/** The same for one request: its callbacks run within its boundary. */
export interface RequestContext extends DirectContext {
  readonly boundary: RequestBoundary;
}

/** An admitted request with its response and deadline. */
export interface DirectWork {
  readonly req: CallerRequest;
  readonly res: CallerResponse;
  readonly admitted: AdmittedRequest;
  readonly service: RoutedService;
  /** Deadline of the caller or the route, on the monotonic clock in ms. */
  readonly deadlineAtMs: number;
}

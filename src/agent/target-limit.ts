/** Keeps what an agent sends to its target within the limit that it names. */
import type {Clock} from '../core/clock/index.js';
import type {Refusal} from '../core/errors/index.js';
import {Executed, RefusalReason} from '../core/errors/index.js';
import {LimitPool, PermitNeed} from '../core/limits/index.js';
import type {Logger} from '../core/logs/index.js';
import type {Metrics} from '../core/metrics/index.js';
import {CounterName} from '../core/metrics/index.js';

/** The agent has one target. */
const TARGET = '';

/**
 * The limit of the target beside an agent. All requests of all entries to the
 * target pass the agent, so it keeps their sum alone.
 *
 * @example
 * const limit = new TargetLimit({clock, metrics, logger});
 * limit.hear(2.6);
 * const refusal = limit.take('orders-app');
 */
export class TargetLimit {
  private readonly pool: LimitPool;
  private perSecond?: number;

  constructor(
    private readonly options: {clock: Clock; metrics: Metrics; logger: Logger},
  ) {
    this.pool = new LimitPool({clock: options.clock, permits: 1});
  }

  /** Records the limit that a response names; undefined if it names none. */
  hear(perSecond: number | undefined): void {
    const {clock, logger} = this.options;
    this.pool.hear({perSecond, heardAtMs: clock.now()});
    if (perSecond === this.perSecond) return;
    const before = this.perSecond;
    this.perSecond = perSecond;
    const message =
      perSecond === undefined
        ? 'target names no limit'
        : 'target names a limit';
    logger.info(message, {limitPerSecond: perSecond, before});
  }

  /** Takes the permit for one request; returns a refusal if there is none. */
  take(clientAccount: string): Refusal | undefined {
    if (this.perSecond === undefined) return undefined;
    const limit = {heardAtMs: Number.NEGATIVE_INFINITY};
    const need = PermitNeed.OPTIONAL;
    const {isGranted, retryAfterMs} = this.pool.request(
      {target: TARGET, limit, need, priority: 0, clientAccount},
      () => 1,
    );
    this.options.metrics.count(CounterName.LIMIT_PERMITS, {
      label: isGranted ? 'granted' : 'refused',
    });
    return isGranted ? undefined : limitRefusal(retryAfterMs);
  }
}

function limitRefusal(retryAfterMs: number): Refusal {
  return {
    reason: RefusalReason.TARGET_LIMIT,
    ran: Executed.NO,
    detail: 'the target takes no more requests for now',
    retryAfterMs: Math.ceil(retryAfterMs),
  };
}

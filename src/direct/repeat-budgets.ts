/** Bounds how often requests are sent again, over all entries together. */
import {RetryBudgets} from '../core/admission/index.js';
import type {Clock} from '../core/clock/index.js';
import {RetryReason} from '../core/errors/refusals.js';
import type {RetryBudgetSettings} from '../core/settings/direct-settings.js';
import {
  LOSSES_FLOOR,
  UNWRITTEN_FLOOR,
  PLANNED_ENTRIES,
  REJECTED_RATIO,
  REJECTION_FLOOR,
  RETRY_SHARE,
} from './consts.js';

/**
 * Budgets for each service. Runs that wrote before they were lost are bounded
 * by the engines that are lost with them, so one entry may have many at a time
 * when a data centre fails. Other losses, and targets found replaced, may come
 * again and again for one request, so they may spend only a part of that
 * budget. When all targets are full, all entries have rejections at once, so
 * each has a small budget of its own for them.
 *
 * @example
 * budgets.noteFirstTry('drafts');
 * const reason = RetryReason.ENGINE_DIED;
 * if (budgets.tryRetry({service: 'drafts', reason})) sendAgain();
 */
export class RepeatBudgets {
  private readonly losses: RetryBudgets;
  private readonly unwritten: RetryBudgets;
  private readonly rejections: RetryBudgets;

  constructor(
    private readonly options: {
      clock: Clock;
      settings: () => RetryBudgetSettings;
    },
  ) {
    const {clock, settings} = options;
    const reserve = Math.floor(settings().slack / PLANNED_ENTRIES);
    this.losses = new RetryBudgets({
      clock,
      floor: LOSSES_FLOOR,
      reserve,
    });
    this.unwritten = new RetryBudgets({clock, floor: UNWRITTEN_FLOOR, reserve});
    this.rejections = new RetryBudgets({clock, floor: REJECTION_FLOOR});
  }

  /** Counts a request that is sent for the first time. */
  noteFirstTry(service: string): void {
    for (const budget of this.budgetsOf(service)) budget.recordFirstAttempt();
  }

  /** Takes one repeat out of the service's budget; false if none is left. */
  tryRetry(options: {
    service: string;
    reason: RetryReason;
    /** Whether the lost run had written for the request. */
    hadWritten?: boolean;
  }): boolean {
    const {service, reason, hadWritten = false} = options;
    const [losses, unwritten, rejections] = this.budgetsOf(service);
    switch (reason) {
      case RetryReason.NOT_SENT:
        // Nothing reached the target, so nothing is repeated.
        return true;
      case RetryReason.TARGET_REFUSED:
        return rejections.tryTakeRetry();
      default:
        if (!hadWritten && !unwritten.tryTakeRetry()) return false;
        return losses.tryTakeRetry();
    }
  }

  private budgetsOf(name: string) {
    const {ratio} = this.options.settings();
    const lossRatio = ratio * RETRY_SHARE;
    const rejectionRatio = ratio * REJECTED_RATIO;
    return [
      this.losses.forService({name, retryRatio: lossRatio}),
      this.unwritten.forService({name, retryRatio: lossRatio}),
      this.rejections.forService({name, retryRatio: rejectionRatio}),
    ] as const;
  }
}

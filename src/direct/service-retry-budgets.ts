/** Bounds how often requests are sent again, over all entries together. */
import {RetryBudgets} from '../core/admission/index.js';
import type {Clock} from '../core/clock/index.js';
import {RetryReason} from '../core/errors/refusals.js';
import type {RetryBudgetSettings} from '../core/settings/direct-settings.js';
import {
  MIN_LOSS_RETRIES,
  MIN_NO_OUTPUT_RETRIES,
  ASSUMED_ENTRY_COUNT,
  REJECTION_BUDGET_SHARE,
  MIN_REJECTION_RETRIES,
  LOSS_BUDGET_SHARE,
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
export class ServiceRetryBudgets {
  private readonly losses: RetryBudgets;
  private readonly noOutput: RetryBudgets;
  private readonly rejections: RetryBudgets;

  constructor(
    private readonly options: {
      clock: Clock;
      settings: () => RetryBudgetSettings;
    },
  ) {
    const {clock, settings} = options;
    const reserve = Math.floor(settings().slack / ASSUMED_ENTRY_COUNT);
    this.losses = new RetryBudgets({
      clock,
      floor: MIN_LOSS_RETRIES,
      reserve,
    });
    this.noOutput = new RetryBudgets({
      clock,
      floor: MIN_NO_OUTPUT_RETRIES,
      reserve,
    });
    this.rejections = new RetryBudgets({clock, floor: MIN_REJECTION_RETRIES});
  }

  /** Counts a request that is sent for the first time. */
  recordFirstAttempt(service: string): void {
    for (const budget of this.budgetsOf(service)) budget.recordFirstAttempt();
  }

  /** Takes one repeat out of the service's budget; false if none is left. */
  takeRetry(options: {
    service: string;
    reason: RetryReason;
    /** Whether the lost run had written for the request. */
    hadOutput?: boolean;
  }): boolean {
    const {service, reason, hadOutput: hadWritten = false} = options;
    const [losses, noOutput, rejections] = this.budgetsOf(service);
    switch (reason) {
      case RetryReason.NOT_SENT:
        // Nothing reached the target, so nothing is repeated.
        return true;
      case RetryReason.TARGET_REFUSED:
        return rejections.tryTakeRetry();
      default:
        if (!hadWritten && !noOutput.tryTakeRetry()) return false;
        return losses.tryTakeRetry();
    }
  }

  private budgetsOf(name: string) {
    const {ratio} = this.options.settings();
    const lossRatio = ratio * LOSS_BUDGET_SHARE;
    const rejectionRatio = ratio * REJECTION_BUDGET_SHARE;
    return [
      this.losses.forService({name, retryRatio: lossRatio}),
      this.noOutput.forService({name, retryRatio: lossRatio}),
      this.rejections.forService({name, retryRatio: rejectionRatio}),
    ] as const;
  }
}

/** Limits the retries of all entries together. */
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
 * Retry budgets of each service, by the cause of the retry. Losses of attempts
 * that had produced output are limited by the number of lost engines, so one
 * entry may retry many of them at a time when a data centre fails. Attempts
 * without output, and those at replaced targets, can fail again and again for
 * one request, so their retries may use only a part of that budget. When all
 * targets are full, all entries have rejections at the same time, so each
 * entry has a small separate budget for them.
 *
 * @example
 * budgets.recordFirstAttempt('drafts');
 * const reason = RetryReason.ENGINE_DIED;
 * if (budgets.takeRetry({service: 'drafts', reason})) resend();
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

  /** Takes one retry from the service's budget; false if none is left. */
  takeRetry(options: {
    service: string;
    reason: RetryReason;
    /** Whether the lost attempt had produced output. */
    hadOutput?: boolean;
  }): boolean {
    const {service, reason, hadOutput = false} = options;
    const [losses, noOutput, rejections] = this.budgetsOf(service);
    switch (reason) {
      case RetryReason.NOT_SENT:
      case RetryReason.HELD_BACK:
        // Nothing reached the target, so this costs no budget.
        return true;
      case RetryReason.TARGET_REFUSED:
        return rejections.tryTakeRetry();
      default:
        if (!hadOutput && !noOutput.tryTakeRetry()) return false;
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

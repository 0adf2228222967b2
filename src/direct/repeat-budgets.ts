/** Bounds how often requests are sent again, over all entries together. */
import {RetryBudgets} from '../core/admission/index.js';
import type {Clock} from '../core/clock/index.js';
import {RetryReason} from '../core/errors/refusals.js';
import type {RetryBudgetSettings} from '../core/settings/direct-settings.js';
import {
  LOSS_FLOOR,
  PLANNED_ENTRIES,
  REJECTED_RATIO,
  REJECTION_FLOOR,
  RETRY_SHARE,
} from './consts.js';

/**
 * Two budgets for each service. Repeats after a loss are bounded by the
 * losses there are, so one entry may have many at a time; so are those after
 * a target was found replaced. Repeats after a rejection are not: when all
 * targets are full, all entries have them at once, so each has a small share.
 *
 * @example
 * budgets.noteFirstTry('drafts');
 * if (budgets.tryRetry('drafts', RetryReason.ENGINE_DIED)) sendAgain();
 */
export class RepeatBudgets {
  private readonly losses: RetryBudgets;
  private readonly rejections: RetryBudgets;

  constructor(
    private readonly options: {
      clock: Clock;
      settings: () => RetryBudgetSettings;
    },
  ) {
    const {clock, settings} = options;
    const reserve = Math.floor(settings().slack / PLANNED_ENTRIES);
    this.losses = new RetryBudgets({clock, floor: LOSS_FLOOR, reserve});
    this.rejections = new RetryBudgets({clock, floor: REJECTION_FLOOR});
  }

  /** Counts a request that is sent for the first time. */
  noteFirstTry(service: string): void {
    this.lossesOf(service).noteFirstTry();
    this.rejectionsOf(service).noteFirstTry();
  }

  /** Takes one repeat out of the service's budget; false if none is left. */
  tryRetry(service: string, reason: RetryReason): boolean {
    switch (reason) {
      case RetryReason.NOT_SENT:
        // Nothing reached the target, so nothing is repeated.
        return true;
      case RetryReason.TARGET_REFUSED:
        return this.rejectionsOf(service).tryRetry();
      default:
        return this.lossesOf(service).tryRetry();
    }
  }

  private lossesOf(name: string) {
    const {ratio} = this.options.settings();
    return this.losses.of({name, retryRatio: ratio * RETRY_SHARE});
  }

  private rejectionsOf(name: string) {
    const {ratio} = this.options.settings();
    return this.rejections.of({name, retryRatio: ratio * REJECTED_RATIO});
  }
}

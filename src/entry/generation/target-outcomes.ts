/** Reports the outcomes of attempts to the outlier detector. */
import type {OutlierDetector} from '../../core/routing/index.js';
import type {OpenAttempt} from './run-types.js';

/**
 * Records each attempt once: as served when its first tokens arrive, or as
 * failed if it fails before.
 */
export class TargetOutcomes {
  private recordedAttemptId = '';

  constructor(private readonly failures: OutlierDetector) {}

  record(attempt: OpenAttempt | undefined, failed: boolean): void {
    if (attempt === undefined) return;
    const {attemptId} = attempt.location;
    if (this.recordedAttemptId === attemptId) return;
    this.recordedAttemptId = attemptId;
    this.failures.recordOutcome({vm: attempt.link.vm, failed});
  }
}

/** Reports the outcomes of attempts at their targets to the routing. */
import type {OutlierDetector} from '../../core/routing/index.js';
import type {OpenAttempt} from './run-types.js';

/** Counts each attempt once, by its first tokens or its failure before any. */
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

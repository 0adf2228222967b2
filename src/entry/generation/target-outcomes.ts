/** Tells the routing how attempts fare at their targets. */
import type {OutlierDetector} from '../../core/routing/index.js';
import type {OpenAttempt} from './run-types.js';

/** Each attempt counts once, by its first tokens or by having none. */
export class TargetOutcomes {
  private notedId = '';

  constructor(private readonly failures: OutlierDetector) {}

  record(attempt: OpenAttempt | undefined, failed: boolean): void {
    if (attempt === undefined) return;
    const {attemptId} = attempt.location;
    if (this.notedId === attemptId) return;
    this.notedId = attemptId;
    this.failures.recordOutcome({vm: attempt.link.vm, failed});
  }
}

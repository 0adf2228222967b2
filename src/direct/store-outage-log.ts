/** Logs when a dependency is lost and when it is back. */
import type {Clock} from '../core/clock/index.js';
import type {SourceError} from '../core/edges/state-source.js';
import type {Logger} from '../core/logs/index.js';

/**
 * Writes one line for each loss of the store and one for its end, however
 * many calls fail between them.
 *
 * @example
 * const contact = new ContactLog({what: 'targets', clock, logger});
 * contact.noteLost(err);
 * contact.noteHeard();
 */
export class StoreOutageLog {
  private lostSinceMs?: number;
  private failures = 0;

  constructor(
    private readonly options: {
      /** What is read from the store. */
      what: string;
      clock: Clock;
      logger: Logger;
    },
  ) {}

  recordFailure(err: SourceError): void {
    const {what, clock, logger} = this.options;
    this.failures++;
    if (this.lostSinceMs !== undefined) return;
    this.lostSinceMs = clock.now();
    logger.warn('store lost', {what, kind: err.kind, detail: err.detail});
  }

  recordSuccess(): void {
    const {what, clock, logger} = this.options;
    if (this.lostSinceMs === undefined) return;
    const lostForMs = Math.round(clock.now() - this.lostSinceMs);
    logger.info('store is back', {what, lostForMs, failures: this.failures});
    this.lostSinceMs = undefined;
    this.failures = 0;
  }
}

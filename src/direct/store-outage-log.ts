/** Logs the start and the end of store outages. */
import type {Clock} from '../core/clock/index.js';
import type {SourceError} from '../core/edges/state-source.js';
import type {Logger} from '../core/logs/index.js';

/**
 * Writes one line when reads from the store start to fail and one when they
 * succeed again, regardless of the number of failed calls in between.
 *
 * @example
 * const outageLog = new StoreOutageLog({what: 'targets', clock, logger});
 * outageLog.recordFailure(err);
 * outageLog.recordSuccess();
 */
export class StoreOutageLog {
  private failingSinceMs?: number;
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
    if (this.failingSinceMs !== undefined) return;
    this.failingSinceMs = clock.now();
    logger.warn('store reads fail', {what, kind: err.kind, detail: err.detail});
  }

  recordSuccess(): void {
    const {what, clock, logger} = this.options;
    if (this.failingSinceMs === undefined) return;
    const lostForMs = Math.round(clock.now() - this.failingSinceMs);
    logger.info('store reads succeed again', {
      what,
      lostForMs,
      failures: this.failures,
    });
    this.failingSinceMs = undefined;
    this.failures = 0;
  }
}

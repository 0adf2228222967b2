/** Requests that this process has recently served completely. */
import type {Clock} from '../clock/index.js';
import {dropOldest} from './drop-oldest.js';

/** Time for which a served request counts as harmless, in milliseconds. */
const SERVED_RETENTION_MS = 60_000;

/** Maximum requests and prompt parts; the oldest are dropped first. */
const MAX_SERVED = 4_096;

/**
 * Remembers the requests that one target served completely, and the prompt
 * parts that targets could write responses to, as they cannot be the cause of
 * other losses.
 *
 * @example
 * const served = new ServedRequests({clock});
 * served.add(fingerprint);
 * served.has(fingerprint);
 */
export class ServedRequests {
  /** When each request was last served, the latest last. */
  private readonly servedAtMs = new Map<string, number>();

  constructor(private readonly options: {clock: Clock}) {}

  add(request: string): void {
    this.servedAtMs.delete(request);
    this.servedAtMs.set(request, this.options.clock.now());
    dropOldest({entries: this.servedAtMs, maxSize: MAX_SERVED});
  }

  has(request: string): boolean {
    const atMs = this.servedAtMs.get(request);
    if (atMs === undefined) return false;
    return this.options.clock.now() - atMs <= SERVED_RETENTION_MS;
  }
}

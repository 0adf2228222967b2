/** Requests under which engines were lost before they wrote anything. */
import type {Clock} from '../clock/index.js';

/** Losses after which a request counts as their cause. */
export const POISON_CRASHES = 3;

/** Time for which a loss is held against a request, in milliseconds. */
const MEMORY_MS = 60_000;

/** Requests that are remembered; the oldest ones go first. */
const MAX_REQUESTS = 4_096;

interface Record {
  crashes: number;
  lastMs: number;
}

/**
 * Counts the engines that were lost under each request. Serves the load of a
 * request that crashes every engine which begins it, and comes again.
 *
 * @example
 * const crashes = new CrashRecord({clock});
 * crashes.note(fingerprint);
 * if (crashes.isPoison(fingerprint)) refuse();
 */
export class CrashRecord {
  private readonly records = new Map<string, Record>();

  constructor(private readonly options: {clock: Clock}) {}

  get isEmpty(): boolean {
    return this.records.size === 0;
  }

  note(fingerprint: string): void {
    const nowMs = this.options.clock.now();
    const crashes = this.crashesOf(fingerprint) + 1;
    this.records.delete(fingerprint);
    this.records.set(fingerprint, {crashes, lastMs: nowMs});
    this.trim();
  }

  /** A loss had another cause: the whole data centre went. */
  acquit(fingerprint: string): void {
    const record = this.records.get(fingerprint);
    if (record === undefined) return;
    record.crashes--;
    if (record.crashes <= 0) this.records.delete(fingerprint);
  }

  /** An engine has written something for the request. */
  clear(fingerprint: string): void {
    this.records.delete(fingerprint);
  }

  isPoison(fingerprint: string): boolean {
    return this.crashesOf(fingerprint) >= POISON_CRASHES;
  }

  private crashesOf(fingerprint: string): number {
    const record = this.records.get(fingerprint);
    if (record === undefined) return 0;
    const ageMs = this.options.clock.now() - record.lastMs;
    return ageMs > MEMORY_MS ? 0 : record.crashes;
  }

  private trim(): void {
    if (this.records.size <= MAX_REQUESTS) return;
    const oldest = this.records.keys().next().value;
    if (oldest !== undefined) this.records.delete(oldest);
  }
}

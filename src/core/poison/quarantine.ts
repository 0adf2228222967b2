/** The quarantine of requests that crash their targets. */
import {array, Codec, string} from 'purify-ts';
import type {GetType} from 'purify-ts';

import {dropOldest} from './drop-oldest.js';
import {isPromptPart} from './suspects.js';

/** Maximum quarantined requests; the oldest are dropped first. */
export const MAX_QUARANTINED = 10_000;

/** Codec of the stored object of a request, which its fingerprint names. */
export const QUARANTINE_RECORD = Codec.interface({
  clientAccount: string,
  /**
   * Ids of the engine crashes that it caused or of the target incarnations that
   * it crashed. They do not count against other requests.
   */
  crashes: array(string),
});

/** The record of a quarantined request. */
export type QuarantineRecord = GetType<typeof QUARANTINE_RECORD>;

/**
 * The fingerprints of the requests that this process refuses.
 *
 * @example
 * quarantine.add({fingerprint, record});
 * quarantine.has(fingerprint);
 */
export class Quarantine {
  private readonly records = new Map<string, QuarantineRecord>();
  private readonly parts = new Set<string>();
  private readonly listeners = new Set<
    (fingerprint: string, record: QuarantineRecord) => void
  >();
  private readonly removalListeners = new Set<(fingerprint: string) => void>();

  get isEmpty(): boolean {
    return this.records.size === 0;
  }

  has(fingerprint: string): boolean {
    return this.records.has(fingerprint);
  }

  /** The keys of prompt parts among them. */
  get promptParts(): ReadonlySet<string> {
    return this.parts;
  }

  /** The record of a quarantined request. */
  recordOf(fingerprint: string): QuarantineRecord | undefined {
    return this.records.get(fingerprint);
  }

  /** Adds a request and notifies the listeners if it is new. */
  add(options: {fingerprint: string; record: QuarantineRecord}): void {
    const {fingerprint, record} = options;
    if (this.records.has(fingerprint)) return;
    this.records.set(fingerprint, record);
    dropOldest({entries: this.records, maxSize: MAX_QUARANTINED});
    if (isPromptPart(fingerprint)) this.parts.add(fingerprint);
    dropOldest({entries: this.parts, maxSize: MAX_QUARANTINED});
    for (const listener of [...this.listeners]) listener(fingerprint, record);
  }

  /** Removes a request after operators have deleted its object. */
  remove(fingerprint: string): void {
    this.parts.delete(fingerprint);
    if (!this.records.delete(fingerprint)) return;
    for (const listener of [...this.removalListeners]) listener(fingerprint);
  }

  /** Calls `listener` for each request that is removed. */
  onRemoved(listener: (fingerprint: string) => void): void {
    this.removalListeners.add(listener);
  }

  /** Calls `listener` for each new request; the result unsubscribes. */
  subscribe(
    listener: (fingerprint: string, record: QuarantineRecord) => void,
  ): () => void {
    this.listeners.add(listener);
    return () => void this.listeners.delete(listener);
  }
}

/** Requests that are refused for good. */
import {array, Codec, string} from 'purify-ts';
import type {GetType} from 'purify-ts';

import {dropOldest} from './drop-oldest.js';

/** Most entries kept; the oldest ones go first. */
export const MAX_QUARANTINED = 10_000;

/** What the object store holds of a culprit, under its fingerprint. */
export const QUARANTINE_RECORD = Codec.interface({
  clientAccount: string,
  /** The crashes that it caused; the others in them are not held against the requests. */
  crashes: array(string),
});

/** A request that crashed its engines. */
export type QuarantineRecord = GetType<typeof QUARANTINE_RECORD>;

/**
 * The fingerprints that this process refuses.
 *
 * @example
 * quarantine.add({fingerprint, culprit});
 * quarantine.has(fingerprint);
 */
export class Quarantine {
  private readonly culprits = new Map<string, QuarantineRecord>();
  private readonly listeners = new Set<
    (fingerprint: string, culprit: QuarantineRecord) => void
  >();
  private readonly removalListeners = new Set<(fingerprint: string) => void>();

  get isEmpty(): boolean {
    return this.culprits.size === 0;
  }

  has(fingerprint: string): boolean {
    return this.culprits.has(fingerprint);
  }

  /** Adds a culprit and tells the listeners if it is new. */
  add(options: {fingerprint: string; record: QuarantineRecord}): void {
    const {fingerprint, record: culprit} = options;
    if (this.culprits.has(fingerprint)) return;
    this.culprits.set(fingerprint, culprit);
    dropOldest({entries: this.culprits, maxSize: MAX_QUARANTINED});
    for (const listener of [...this.listeners]) listener(fingerprint, culprit);
  }

  /** Takes a culprit off the list, after operators deleted its object. */
  remove(fingerprint: string): void {
    if (!this.culprits.delete(fingerprint)) return;
    for (const listener of [...this.removalListeners]) listener(fingerprint);
  }

  /** Calls `listener` with each culprit that is taken off the list. */
  onRemoved(listener: (fingerprint: string) => void): void {
    this.removalListeners.add(listener);
  }

  /** Calls `listener` with each new culprit; the result removes it. */
  subscribe(
    listener: (fingerprint: string, culprit: QuarantineRecord) => void,
  ): () => void {
    this.listeners.add(listener);
    return () => void this.listeners.delete(listener);
  }
}

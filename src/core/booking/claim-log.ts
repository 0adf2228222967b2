/**
 * The claim log in the platform: numbered segments, each created once. The
 * entry that creates a segment gets the next number. All entries replay the
 * same segments and so derive the same claims.
 */
import type {GetType} from 'purify-ts';
import {array, Codec, number, string} from 'purify-ts';

import {CLAIM_RETENTION_MS, MAX_GROUP_CHANGES} from './consts.js';
import {CLAIM} from './types.js';
import type {Claim, StoredClaim} from './types.js';

/** Codec of one claim change. */
export const CLAIM_CHANGE = Codec.interface({
  /** Name of the claim. */
  name: string,
  claim: CLAIM,
  /** Version of the claim that is replaced; 0 to create a claim. */
  expected: number,
});

/** One claim change. */
export type ClaimChange = GetType<typeof CLAIM_CHANGE>;

/** Codec of a segment: a group of changes, written once. */
export const CLAIM_SEGMENT = Codec.interface({
  /** Identifies the write, so that the writer recognises its own segment. */
  nonce: string,
  /** When it was written, in milliseconds since the epoch. */
  writtenAtMs: number,
  changes: array(CLAIM_CHANGE),
});

/** A group of changes, written once. */
export type ClaimSegment = GetType<typeof CLAIM_SEGMENT>;

/** Result of one change. */
export interface ChangeResult {
  /** False if the claim did not have the expected version. */
  readonly written: boolean;
  /** The current claim; undefined if there is none. */
  readonly stored?: StoredClaim;
}

/**
 * The claims that result from replaying a log. The version of a claim is its
 * position in the log, so that equal logs give equal versions.
 *
 * @example
 * const table = new ClaimTable();
 * table.apply(segment);
 */
export class ClaimTable {
  private readonly claims = new Map<string, StoredClaim>();
  private nextSegment = 0;
  private cutoffMs = -Infinity;

  /** Index of the next segment. */
  get nextIndex(): number {
    return this.nextSegment;
  }

  /**
   * Claims made before this time are expired, in milliseconds since the epoch.
   * It depends on the log only, so that all entries agree.
   */
  get expiredBeforeMs(): number {
    return this.cutoffMs;
  }

  /** Sets the index of the first segment, if earlier ones were deleted. */
  startAt(index: number): void {
    this.nextSegment = index;
  }

  get size(): number {
    return this.claims.size;
  }

  find(name: string): StoredClaim | undefined {
    const stored = this.claims.get(name);
    const isExpired = (stored?.claim.claimedAtMs ?? 0) < this.cutoffMs;
    return isExpired ? undefined : stored;
  }

  /** Applies the next segment; a change whose version conflicts is ignored. */
  apply(segment: ClaimSegment): ChangeResult[] {
    const cutoffMs = segment.writtenAtMs - CLAIM_RETENTION_MS;
    this.cutoffMs = Math.max(this.cutoffMs, cutoffMs);
    const firstVersion = this.nextSegment * MAX_GROUP_CHANGES + 1;
    this.nextSegment++;
    const results = segment.changes.map((change, i) =>
      this.applyChange(change, firstVersion + i),
    );
    this.deleteExpired();
    return results;
  }

  private applyChange(
    {name, claim, expected}: ClaimChange,
    version: number,
  ): ChangeResult {
    const current = this.find(name);
    if ((current?.version ?? 0) !== expected) {
      return {written: false, stored: current};
    }
    const stored = {claim, version};
    this.claims.set(name, stored);
    return {written: true, stored};
  }

  /** Claims are ordered by age, so the first unexpired one ends the scan. */
  private deleteExpired(): void {
    for (const [name, {claim}] of this.claims) {
      if (claim.claimedAtMs >= this.cutoffMs) return;
      this.claims.delete(name);
    }
  }
}

/**
 * Returns the name of a segment; names sort in log order.
 *
 * @example
 * segmentNameOf(7); // 'log.000000000007'
 */
export function segmentNameOf(index: number): string {
  return `${SEGMENT_PREFIX}${String(index).padStart(SEGMENT_DIGITS, '0')}`;
}

/**
 * Returns the index of a segment in the log.
 *
 * @example
 * segmentIndexOf('log.000000000007'); // 7
 */
export function segmentIndexOf(name: string): number {
  return Number(name.slice(SEGMENT_PREFIX.length));
}

/** Prefix of all segment names. */
export const SEGMENT_PREFIX = 'log.';

const SEGMENT_DIGITS = 12;

/**
 * Returns the change that creates a claim or replaces the expected one.
 *
 * @example
 * table.apply({...segment, changes: [createChange({name, claim})]});
 */
export function createChange(options: {
  name: string;
  claim: Claim;
  expected?: StoredClaim;
}): ClaimChange {
  const {name, claim, expected} = options;
  return {name, claim, expected: expected?.version ?? 0};
}

/**
 * The log of claims in the platform: segments that are created once, in
 * order. Whoever creates a segment has the next place in the order; all
 * entries replay the same segments to the same claims.
 */
import type {GetType} from 'purify-ts';
import {array, Codec, number, string} from 'purify-ts';

import {CLAIM_RETENTION_MS, MAX_GROUP_CHANGES} from './consts.js';
import {CLAIM} from './types.js';
import type {Claim, StoredClaim} from './types.js';

/** One change of a claim. */
export const CLAIM_CHANGE = Codec.interface({
  name: string,
  claim: CLAIM,
  /** Version of the claim that it replaces; 0 where it creates one. */
  expected: number,
});

export type ClaimChange = GetType<typeof CLAIM_CHANGE>;

/** A group of changes under one name, written once. */
export const CLAIM_SEGMENT = Codec.interface({
  /** Tells the writer whether a segment is its own. */
  nonce: string,
  /** When it was written, in milliseconds since the epoch. */
  writtenAtMs: number,
  changes: array(CLAIM_CHANGE),
});

export type ClaimSegment = GetType<typeof CLAIM_SEGMENT>;

/** What became of one change. */
export interface ChangeResult {
  readonly written: boolean;
  /** The claim that stands now; undefined where there is none. */
  readonly stored?: StoredClaim;
}

/**
 * The claims that a log amounts to. The version of a claim is its place in
 * the log, so that equal logs give equal versions.
 *
 * @example
 * const table = new ClaimTable();
 * table.apply(segment);
 */
export class ClaimTable {
  private readonly claims = new Map<string, StoredClaim>();
  private segments = 0;
  private horizonMs = -Infinity;

  /** Number of the next segment. */
  get nextIndex(): number {
    return this.segments;
  }

  /** Claims made before this are expired; the log alone decides it. */
  get expiredBeforeMs(): number {
    return this.horizonMs;
  }

  /** Begins at a later segment, where the ones before it are deleted. */
  startAt(index: number): void {
    this.segments = index;
  }

  get size(): number {
    return this.claims.size;
  }

  find(name: string): StoredClaim | undefined {
    const stored = this.claims.get(name);
    const expired = (stored?.claim.claimedAtMs ?? 0) < this.horizonMs;
    return expired ? undefined : stored;
  }

  /** Applies the next segment; a change that meets another claim is void. */
  apply(segment: ClaimSegment): ChangeResult[] {
    const horizonMs = segment.writtenAtMs - CLAIM_RETENTION_MS;
    this.horizonMs = Math.max(this.horizonMs, horizonMs);
    const firstVersion = this.segments * MAX_GROUP_CHANGES + 1;
    this.segments++;
    const results = segment.changes.map((change, i) =>
      this.change(change, firstVersion + i),
    );
    this.forgetExpired();
    return results;
  }

  private change(
    {name, claim, expected}: ClaimChange,
    version: number,
  ): ChangeResult {
    const standing = this.find(name);
    if ((standing?.version ?? 0) !== expected) {
      return {written: false, stored: standing};
    }
    const stored = {claim, version};
    this.claims.set(name, stored);
    return {written: true, stored};
  }

  /** The oldest come first, so that one that is still in force ends this. */
  private forgetExpired(): void {
    for (const [name, {claim}] of this.claims) {
      if (claim.claimedAtMs >= this.horizonMs) return;
      this.claims.delete(name);
    }
  }
}

/**
 * The name of a segment; names sort in the order of the log.
 *
 * @example
 * segmentNameOf(7); // 'log.000000000007'
 */
export function segmentNameOf(index: number): string {
  return `${SEGMENT_PREFIX}${String(index).padStart(SEGMENT_DIGITS, '0')}`;
}

/**
 * The place of a segment in the log.
 *
 * @example
 * segmentIndexOf('log.000000000007'); // 7
 */
export function segmentIndexOf(name: string): number {
  return Number(name.slice(SEGMENT_PREFIX.length));
}

/** Start of the names of all segments. */
export const SEGMENT_PREFIX = 'log.';

const SEGMENT_DIGITS = 12;

/** Builds the change that creates or replaces a claim. */
export function createChange(options: {
  name: string;
  claim: Claim;
  expected?: StoredClaim;
}): ClaimChange {
  const {name, claim, expected} = options;
  return {name, claim, expected: expected?.version ?? 0};
}

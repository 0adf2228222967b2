/** Foresees how long generations wait for room at one entry. */
import type {RandomSource} from '../clock/index.js';
import {
  FASTER_FACTOR,
  HONOURED_SHARE,
  MIN_GRANTS,
  MIN_RETRY_AFTER_MS,
  MIN_SPACING_MS,
  RATE_WINDOW_MS,
  RETRY_AFTER_JITTER,
} from './consts.js';
import type {RoomRequest} from './types.js';

/** What the wait of a generation depends on. */
export interface WaitQuery {
  /** Generations that get room before it. */
  readonly ahead: number;
  /** Generations that run from this entry. */
  readonly running: number;
  /** Shortest time of a generation, in milliseconds; 0 if unknown. */
  readonly shortestMs: number;
  readonly nowMs: number;
}

/**
 * Measures how fast the queue of a service moves, and tells refused callers when
 * to come back.
 *
 * Answers a queue that grows faster than engines free room: without it, the last
 * ones wait until nothing but a refusal is left to them.
 *
 * @example
 * outlook.recordWaiting(clock.now());
 * outlook.recordGrant(clock.now());
 * outlook.waitMs({ahead: 12, running: 20, shortestMs: 8_000, nowMs}); // 2400
 */
export class RoomOutlook {
  /** When waiting generations got room, within `RATE_WINDOW_MS`. */
  private grantedAtMs: number[] = [];
  /** Since when some have waited all the time. */
  private busySinceMs?: number;
  private lastReturnAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: {random: RandomSource}) {}

  /** Records that a generation waits. */
  recordWaiting(nowMs: number): void {
    this.busySinceMs ??= nowMs;
  }

  /** Records that a waiting generation got room. */
  recordGrant(nowMs: number): void {
    this.grantedAtMs.push(nowMs);
    this.dropGrantsBefore(nowMs - RATE_WINDOW_MS);
  }

  /** Records that nothing waits any more. */
  recordEmpty(): void {
    this.grantedAtMs = [];
    this.busySinceMs = undefined;
  }

  /**
   * Shortest wait to expect, in milliseconds; 0 while generations have not waited
   * for all of `RATE_WINDOW_MS`. The grants show how fast the queue moves, unless
   * what runs from this entry may end earlier: what began together ends together.
   */
  waitMs(query: WaitQuery): number {
    const {ahead, running, shortestMs, nowMs} = query;
    if (running === 0) return 0;
    const intervalMs = Math.min(this.intervalMs(nowMs), shortestMs / running);
    return (ahead * intervalMs) / FASTER_FACTOR;
  }

  /**
   * Time after which a refused caller has a chance, in milliseconds; undefined if
   * it has none. Callers return once, so not too early; at least half of its spare
   * time is left to it to wait for room, at this entry or at another one. Each
   * caller comes later than the one before.
   */
  retryAfterMs(options: {
    request: RoomRequest;
    waitMs: number;
    nowMs: number;
  }): number | undefined {
    const {request, waitMs, nowMs} = options;
    const leftMs = request.deadlineAtMs - nowMs;
    const spareMs = leftMs - request.shortestMs;
    const latestMs = Math.min(spareMs / 2, leftMs * HONOURED_SHARE);
    if (latestMs < MIN_RETRY_AFTER_MS) return undefined;
    const chanceMs = Math.max(waitMs, MIN_RETRY_AFTER_MS);
    const earliestAtMs = nowMs + Math.min(chanceMs, latestMs / 2);
    const spacingMs = Math.max(this.intervalMs(nowMs), MIN_SPACING_MS);
    const nextAtMs = this.lastReturnAtMs + spacingMs;
    const returnAtMs = Math.max(earliestAtMs, nextAtMs);
    const afterMs = Math.min(returnAtMs - nowMs, latestMs);
    this.lastReturnAtMs = nowMs + afterMs;
    return Math.ceil(afterMs * this.jitter());
  }

  private jitter(): number {
    return 1 - this.options.random.float() * RETRY_AFTER_JITTER;
  }

  /** Mean time between two grants, in milliseconds; 0 if unknown. */
  private intervalMs(nowMs: number): number {
    const {busySinceMs = nowMs} = this;
    if (nowMs - busySinceMs < RATE_WINDOW_MS) return 0;
    this.dropGrantsBefore(nowMs - RATE_WINDOW_MS);
    const {length} = this.grantedAtMs;
    // With few grants the engines may be lost for a moment.
    return length < MIN_GRANTS ? 0 : RATE_WINDOW_MS / length;
  }

  private dropGrantsBefore(sinceMs: number): void {
    const first = this.grantedAtMs.findIndex((atMs) => atMs > sinceMs);
    const old = first < 0 ? this.grantedAtMs.length : first;
    if (old > 0) this.grantedAtMs.splice(0, old);
  }
}

/** The versions of a service that may get traffic without an order. */
import {PriorUse} from './types.js';

/**
 * Longest time for which a new version is held back, in milliseconds: orders that
 * cannot be read must not keep sound targets from work.
 */
const MAX_HOLD_MS = 2_000;

/**
 * Holds back targets of a version that was not there before, until it is known
 * that no order is about it: targets of an ordered version may be read before the
 * order is.
 *
 * @example
 * const baseline = new VersionBaseline();
 * baseline.held({service: 'desk', versions, nowMs, ordersKnownAtMs});
 */
export class VersionBaseline {
  private readonly known = new Map<string, Set<string>>();
  private readonly firstSeenMs = new Map<string, number>();

  /** Returns the versions that get no traffic now. */
  held(options: {
    service: string;
    versions: ReadonlySet<string>;
    nowMs: number;
    /** Time as of which all orders are known; undefined if none were read. */
    ordersKnownAtMs?: number;
  }): ReadonlySet<string> {
    const {service, versions, nowMs} = options;
    const known = this.known.get(service);
    if (known === undefined) {
      if (versions.size === 0) return versions;
      // Old and new cannot be told apart before the orders are known.
      const sinceMs = this.seenSinceMs(service, nowMs);
      const mayBeRead =
        options.ordersKnownAtMs === undefined && nowMs - sinceMs < MAX_HOLD_MS;
      if (mayBeRead && versions.size > 1) return versions;
      this.known.set(service, new Set(versions));
      return new Set();
    }
    const held = new Set<string>();
    for (const version of versions) {
      if (known.has(version)) continue;
      const key = `${service}\n${version}`;
      const seenMs = this.seenSinceMs(key, nowMs);
      const {ordersKnownAtMs = Number.NEGATIVE_INFINITY} = options;
      const isOver = nowMs - seenMs >= MAX_HOLD_MS;
      if (ordersKnownAtMs > seenMs || isOver) {
        known.add(version);
        this.firstSeenMs.delete(key);
      } else held.add(version);
    }
    return held;
  }

  /**
   * Tells what a version is to a service.
   *
   * @example
   * baseline.priorUse('desk', 'v2') === PriorUse.USED;
   */
  priorUse(service: string, version: string): PriorUse {
    const known = this.known.get(service);
    if (known === undefined || known.size === 0) return PriorUse.UNKNOWN;
    return known.has(version) ? PriorUse.USED : PriorUse.OTHERS;
  }

  /** Returns what `held` would; changes nothing. */
  peek(options: Parameters<VersionBaseline['held']>[0]): ReadonlySet<string> {
    const copy = new VersionBaseline();
    for (const [service, versions] of this.known)
      copy.known.set(service, new Set(versions));
    for (const [key, ms] of this.firstSeenMs) copy.firstSeenMs.set(key, ms);
    return copy.held(options);
  }

  private seenSinceMs(key: string, nowMs: number): number {
    const seenMs = this.firstSeenMs.get(key) ?? nowMs;
    this.firstSeenMs.set(key, seenMs);
    return seenMs;
  }
}

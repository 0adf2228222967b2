/** Knows which incarnations of targets others have replaced. */
import type {Clock} from '../clock/index.js';
import {STARTS_CACHE_MS} from './consts.js';

/** What is used of the registration of a target. */
export interface RegisteredStart {
  readonly service: string;
  readonly address: string;
  /** Unix time of its start, in milliseconds; undefined if it tells none. */
  readonly startedAtMs?: number;
}

/** Starts by address, and when they were read. */
interface Starts {
  readonly readMs: number;
  readonly byAddress: ReadonlyMap<string, number>;
}

/**
 * Finds targets whose address a later incarnation has registered. Such a target
 * has ended, though its own registration may still be there for seconds.
 *
 * @example
 * starts.isReplaced(target.record, () => registrations);
 */
export class NewestStarts {
  private readonly starts = new Map<string, Starts>();

  constructor(private readonly options: {clock: Clock}) {}

  isReplaced(
    target: RegisteredStart,
    registrations: () => readonly RegisteredStart[],
  ): boolean {
    const {service, address, startedAtMs} = target;
    if (startedAtMs === undefined) return false;
    const nowMs = this.options.clock.now();
    let starts = this.starts.get(service);
    if (starts === undefined || nowMs - starts.readMs >= STARTS_CACHE_MS) {
      starts = {readMs: nowMs, byAddress: newestByAddress(registrations())};
      this.starts.set(service, starts);
    }
    return (starts.byAddress.get(address) ?? startedAtMs) > startedAtMs;
  }
}

function newestByAddress(
  registrations: readonly RegisteredStart[],
): Map<string, number> {
  const newest = new Map<string, number>();
  for (const {address, startedAtMs = -Infinity} of registrations)
    if (startedAtMs > (newest.get(address) ?? -Infinity))
      newest.set(address, startedAtMs);
  return newest;
}

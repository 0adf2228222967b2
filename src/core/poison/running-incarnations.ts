/** Target incarnations that responded after other entries took them for lost. */
import type {Clock} from '../clock/index.js';
import {dropOldest} from './drop-oldest.js';
import type {Loss} from './loss-table.js';

/** Maximum incarnations; the oldest are dropped first. */
const MAX_INCARNATIONS = 1_024;

/**
 * Remembers which incarnations were found running, so that earlier losses of
 * them count against no request.
 *
 * Answers the load of entries or targets that are so slow that their probes time
 * out, which looks like several crashes at once.
 *
 * @example
 * const running = new RunningIncarnations({clock});
 * running.add('i-7@1000');
 * running.contradicts(loss);
 */
export class RunningIncarnations {
  private readonly seenAtMs = new Map<string, number>();

  constructor(private readonly options: {clock: Clock}) {}

  add(incarnation: string): void {
    this.seenAtMs.delete(incarnation);
    this.seenAtMs.set(incarnation, this.options.clock.now());
    dropOldest({entries: this.seenAtMs, maxSize: MAX_INCARNATIONS});
  }

  /** Forgets an incarnation that was lost after all. */
  remove(incarnation: string): void {
    this.seenAtMs.delete(incarnation);
  }

  /** Whether the incarnation was running after the loss was recorded. */
  contradicts({
    incarnation,
    atMs,
  }: Pick<Loss, 'incarnation' | 'atMs'>): boolean {
    const seenAtMs = this.seenAtMs.get(incarnation);
    return seenAtMs !== undefined && seenAtMs >= atMs;
  }
}

/** Losses of requests for which entries have raised alerts. */
import type {Clock} from '../clock/index.js';
import {SETTLING_MS} from './consts.js';
import {dropOldest} from './drop-oldest.js';
import type {Loss} from './loss-table.js';
import {LossTable} from './loss-table.js';
import type {RecordedLosses} from './recorded-losses.js';

/** Maximum alerts; the oldest are dropped first. */
const MAX_ALERTS = 4_096;

/**
 * Keeps what alerts tell. An alert of unsettled losses holds for a short time
 * only, as their entry may dismiss them without another alert.
 *
 * @example
 * const alerts = new AlertedLosses({clock});
 * alerts.add(request, recorded);
 * alerts.has(request);
 */
export class AlertedLosses {
  private readonly tables = new Map<string, LossTable>();
  /** Requests whose alerts were refuted, as an entry has served them. */
  private readonly refuted = new Set<string>();

  constructor(private readonly options: {clock: Clock}) {}

  get isEmpty(): boolean {
    return this.tables.size === 0;
  }

  /** The requests for which alerts were received. */
  get requests(): readonly string[] {
    return [...this.tables.keys()];
  }

  has(request: string): boolean {
    return this.tables.has(request);
  }

  /** Returns whether an entry has refuted the alert of a request. */
  isRefuted(request: string): boolean {
    return this.refuted.has(request);
  }

  /** Returns whether an alert has told a loss, as settled if it is settled. */
  tells({request, incarnation, isSettled}: Omit<Loss, 'atMs'>): boolean {
    const known = this.tables.get(request)?.lossesOf(request).get(incarnation);
    return known !== undefined && (known.isSettled || !isSettled);
  }

  /** Adds what an alert tells; alerts of several entries add up. */
  add(request: string, recorded: RecordedLosses): void {
    if (recorded.harmless.includes(request)) this.refuted.add(request);
    dropOldest({entries: this.refuted, maxSize: MAX_ALERTS});
    const table = this.tables.get(request) ?? new LossTable();
    const nowMs = this.options.clock.now();
    for (const {life: incarnation, isSettled} of recorded.losses) {
      const known = table.lossesOf(request).get(incarnation);
      table.put({
        request,
        incarnation,
        atMs: known?.atMs ?? nowMs,
        isSettled: isSettled || known?.isSettled === true,
      });
    }
    this.tables.set(request, table);
    dropOldest({entries: this.tables, maxSize: MAX_ALERTS});
  }

  /** Removes an alert whose object in the store was deleted. */
  remove(request: string): void {
    this.tables.delete(request);
    this.refuted.delete(request);
  }

  /** The losses of a request that are settled or were alerted recently. */
  lossesOf(request: string): Loss[] {
    const losses = this.tables.get(request)?.lossesOf(request).values() ?? [];
    return [...losses].filter((loss) => this.holds(loss));
  }

  /** All losses that are settled or were alerted recently. */
  all(): Loss[] {
    return this.requests.flatMap((request) => this.lossesOf(request));
  }

  private holds({isSettled, atMs}: Loss): boolean {
    return isSettled || this.options.clock.now() - atMs <= SETTLING_MS;
  }
}

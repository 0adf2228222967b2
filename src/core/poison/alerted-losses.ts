/** Losses of suspects for which entries have raised alerts. */
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
 * alerts.add(suspect, recorded);
 * alerts.has(suspect);
 */
export class AlertedLosses {
  private readonly tables = new Map<string, LossTable>();
  /** Suspects whose alerts were refuted, as an entry has served them. */
  private readonly refuted = new Set<string>();

  constructor(private readonly options: {clock: Clock}) {}

  get isEmpty(): boolean {
    return this.tables.size === 0;
  }

  /** The suspects for which alerts were received. */
  get suspects(): readonly string[] {
    return [...this.tables.keys()];
  }

  has(suspect: string): boolean {
    return this.tables.has(suspect);
  }

  /** Returns whether an entry has refuted the alert of a suspect. */
  isRefuted(suspect: string): boolean {
    return this.refuted.has(suspect);
  }

  /** Returns whether an alert has told a loss, as settled if it is settled. */
  tells({suspect, incarnation, isSettled}: Omit<Loss, 'atMs'>): boolean {
    const known = this.tables.get(suspect)?.lossesOf(suspect).get(incarnation);
    return known !== undefined && (known.isSettled || !isSettled);
  }

  /** Adds what an alert tells; alerts of several entries add up. */
  add(suspect: string, recorded: RecordedLosses): void {
    if (recorded.harmless.includes(suspect)) this.refuted.add(suspect);
    dropOldest({entries: this.refuted, maxSize: MAX_ALERTS});
    const table = this.tables.get(suspect) ?? new LossTable();
    const nowMs = this.options.clock.now();
    for (const {life: incarnation, isSettled, part} of recorded.losses) {
      const known = table.lossesOf(suspect).get(incarnation);
      table.put({
        suspect,
        incarnation,
        atMs: known?.atMs ?? nowMs,
        isSettled: isSettled || known?.isSettled === true,
        part,
      });
    }
    this.tables.set(suspect, table);
    dropOldest({entries: this.tables, maxSize: MAX_ALERTS});
  }

  /** Removes an alert whose object in the store was deleted. */
  remove(suspect: string): void {
    this.tables.delete(suspect);
    this.refuted.delete(suspect);
  }

  /** The losses of a suspect that are settled or were alerted recently. */
  lossesOf(suspect: string): Loss[] {
    const losses = this.tables.get(suspect)?.lossesOf(suspect).values() ?? [];
    return [...losses].filter((loss) => this.holds(loss));
  }

  /** All losses that are settled or were alerted recently. */
  all(): Loss[] {
    return this.suspects.flatMap((suspect) => this.lossesOf(suspect));
  }

  private holds({isSettled, atMs}: Loss): boolean {
    return isSettled || this.options.clock.now() - atMs <= SETTLING_MS;
  }
}

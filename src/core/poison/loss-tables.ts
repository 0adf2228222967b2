/** The losses of all entries, as far as this one knows them. */
import type {AlertedLosses} from './alerted-losses.js';
import type {Loss} from './loss-table.js';
import {LossTable} from './loss-table.js';
import {isPromptPart} from './suspects.js';

/**
 * Joins the losses of this entry, those that others have recorded and those that
 * alerts tell.
 *
 * @example
 * const tables = new LossTables({alerts});
 * tables.own.put(loss);
 * [...tables.lossesOf(loss.suspect)].length; // 1
 */
export class LossTables {
  /** What this entry has recorded. */
  readonly own = new LossTable();
  private readonly others = new Map<string, LossTable>();

  constructor(private readonly options: {alerts: AlertedLosses}) {}

  get isEmpty(): boolean {
    const hasNone = this.own.isEmpty && this.options.alerts.isEmpty;
    return hasNone && this.others.size === 0;
  }

  /** What another entry has recorded. */
  otherOf(entry: string): LossTable | undefined {
    return this.others.get(entry);
  }

  /** Replaces what another entry has recorded. */
  setOther(entry: string, table: LossTable): void {
    if (table.isEmpty) this.others.delete(entry);
    else this.others.set(entry, table);
  }

  removeOther(entry: string): void {
    this.others.delete(entry);
  }

  /** Removes what all entries have recorded of a suspect. */
  removeAll(suspect: string): void {
    for (const table of this.tables()) table.removeAll(suspect);
  }

  /** All losses of a suspect; a part also has those of prompts with it. */
  *lossesOf(suspect: string): Iterable<Loss> {
    const isPart = isPromptPart(suspect);
    for (const table of this.tables()) {
      yield* table.lossesOf(suspect).values();
      if (isPart) yield* table.promptLossesOf(suspect);
    }
    yield* this.options.alerts.lossesOf(suspect);
  }

  *all(): Iterable<Loss> {
    for (const table of this.tables()) yield* table.all();
    yield* this.options.alerts.all();
  }

  /** The prompt parts of which there are losses. */
  partSuspects(): ReadonlySet<string> {
    const parts = new Set<string>();
    const add = (suspects: Iterable<string>) => {
      for (const suspect of suspects)
        if (isPromptPart(suspect)) parts.add(suspect);
    };
    for (const table of this.tables()) add(table.suspects);
    add(this.options.alerts.suspects);
    return parts;
  }

  /** Whether any entry lost an incarnation while it ran a suspect. */
  wasLostWith(suspect: string, incarnation: string): boolean {
    for (const table of this.tables()) {
      if (table.lossesOf(suspect).has(incarnation)) return true;
    }
    return false;
  }

  /** Whether another entry has told losses of a suspect. */
  isRecordedByOthers(suspect: string): boolean {
    if (this.options.alerts.has(suspect)) return true;
    for (const table of this.others.values()) {
      if (table.lossesOf(suspect).size > 0) return true;
    }
    return false;
  }

  private *tables(): Iterable<LossTable> {
    yield this.own;
    yield* this.others.values();
  }
}

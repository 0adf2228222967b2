/** Tells stale registrations of a restored store from news. */
import type {TargetRecord} from './types.js';
import {MAX_GONE_TARGETS} from './consts.js';

/**
 * Remembers targets that began to drain or left. A store that was restored from a
 * copy may show them as they were before. Such a registration is stale until its
 * target has written it again: a target that lives does so at intervals, and one
 * that is gone does not.
 *
 * @example
 * const gone = new GoneTargets();
 * gone.add(record);
 * gone.recordRestored(items);
 * gone.isStale(item);
 */
export class GoneTargets {
  /** Last registrations of targets that drain or left, oldest first. */
  private readonly gone = new Map<string, TargetRecord>();
  /** Stale registrations, by target id. */
  private readonly stale = new Map<string, TargetRecord>();

  /** Records that a target began to drain or left. */
  add(record: TargetRecord): void {
    this.gone.delete(record.id);
    this.gone.set(record.id, record);
    const [oldest] = this.gone.keys();
    if (this.gone.size > MAX_GONE_TARGETS) this.gone.delete(oldest!);
  }

  /** Records that a target has written its registration. */
  recordWritten({id, isDraining}: TargetRecord): void {
    this.stale.delete(id);
    if (!isDraining) this.gone.delete(id);
  }

  /** Marks the stale ones of the registrations that a restored store shows. */
  recordRestored(records: readonly TargetRecord[]): void {
    for (const record of records) {
      const {id, isDraining} = record;
      const known = this.gone.get(id);
      if (known === undefined || isDraining) continue;
      if (isSameIncarnation(known, record)) this.stale.set(id, record);
    }
  }

  /** Forgets the stale registrations that a list does not show. */
  retainListed(ids: ReadonlySet<string>): void {
    for (const id of [...this.stale.keys()])
      if (!ids.has(id)) this.stale.delete(id);
  }

  /** Whether there are stale registrations. */
  get hasStale(): boolean {
    return this.stale.size > 0;
  }

  /** Whether a registration is stale and was not written again since. */
  isStale(record: TargetRecord): boolean {
    const stale = this.stale.get(record.id);
    if (stale === undefined || !isSameIncarnation(stale, record)) return false;
    return (record.writeCount ?? 0) <= (stale.writeCount ?? 0);
  }
}

/**
 * Whether two registrations are of the same incarnation of a target.
 *
 * @example
 * isSameIncarnation(known.record, record);
 */
export function isSameIncarnation(a: TargetRecord, b: TargetRecord): boolean {
  return a.startedAtMs === b.startedAtMs && a.address === b.address;
}

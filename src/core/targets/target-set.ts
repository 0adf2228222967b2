/** All targets that are registered, as this entry knows them. */
import type {Clock} from '../clock/index.js';
import type {SourceChange, SourceItem} from '../edges/state-source.js';
import {REREGISTRATION_GRACE_MS, MAX_REMEMBERED_GAPS} from './consts.js';
import {Target} from './target.js';
import type {TargetRecord} from './types.js';

/**
 * Keeps one `Target` for each life of a target. A target that leaves, or
 * whose registration is gone, is given no new work; where the registration
 * was missed during an outage of the store, it has time to come back.
 *
 * @example
 * const targets = new TargetSet({clock, onRemoved: (t) => close(t)});
 * targets.replaceAll(items, false);
 * targets.ofService('drafts');
 */
export class TargetSet {
  private readonly targets = new Map<string, Target>();
  /** Paces of targets that are gone, by address. */
  private readonly paces = new Map<string, number>();
  /** When the registration of a target was found missing. */
  private readonly missingSinceMs = new Map<string, number>();

  constructor(
    private readonly options: {
      clock: Clock;
      /** The target is gone, leaves, or has started anew. */
      onRemoved: (target: Target) => void;
      /** The target takes no work for a time. */
      onPaused?: (target: Target, pauseMs: number) => void;
    },
  ) {}

  /** All known targets. */
  all(): Iterable<Target> {
    return this.targets.values();
  }

  /** Whether the registered life of a target is the one that is given. */
  isCurrent(target: Target): boolean {
    return this.targets.get(target.id) === target;
  }

  /** Targets of a service that may be given work. */
  ofService(service: string): Target[] {
    this.forgetLapsed();
    const found: Target[] = [];
    for (const target of this.targets.values()) {
      const {record} = target;
      if (record.service === service && !record.isDraining) found.push(target);
    }
    return found;
  }

  /** Takes over a whole list; `afterOutage` if the store was away before. */
  replaceAll(
    items: ReadonlyArray<SourceItem<TargetRecord>>,
    afterOutage: boolean,
  ): void {
    const present = new Set<string>();
    for (const {name, value} of items) {
      if (value === undefined) continue;
      present.add(name);
      this.put(value);
    }
    for (const id of [...this.targets.keys()]) {
      if (present.has(id)) continue;
      if (afterOutage) this.markMissing(id);
      else this.remove(id);
    }
  }

  applyChanges(changes: ReadonlyArray<SourceChange<TargetRecord>>): void {
    for (const {name, value, isDeleted} of changes) {
      if (isDeleted || value === undefined) this.remove(name);
      else this.put(value);
    }
  }

  private put(record: TargetRecord): void {
    this.missingSinceMs.delete(record.id);
    const known = this.targets.get(record.id);
    if (known !== undefined && isSameLife(known.record, record)) {
      const wasLeaving = known.record.isDraining;
      known.record = record;
      if (record.isDraining && !wasLeaving) {
        known.recordDraining();
        this.options.onRemoved(known);
      }
      return;
    }
    if (known !== undefined) this.remove(record.id);
    const {clock, onPaused} = this.options;
    const paceMs = this.paces.get(record.address);
    const target = new Target({record, clock, onPaused, eventGapMs: paceMs});
    this.targets.set(record.id, target);
  }

  private markMissing(id: string): void {
    if (this.missingSinceMs.has(id)) return;
    this.missingSinceMs.set(id, this.options.clock.now());
  }

  private forgetLapsed(): void {
    if (this.missingSinceMs.size === 0) return;
    const dueMs = this.options.clock.now() - REREGISTRATION_GRACE_MS;
    for (const [id, sinceMs] of [...this.missingSinceMs]) {
      if (sinceMs <= dueMs) this.remove(id);
    }
  }

  /** A restarted target runs on the same machine as before. */
  private rememberPace({record, eventGapMs: paceMs}: Target): void {
    if (paceMs === undefined) return;
    if (this.paces.size >= MAX_REMEMBERED_GAPS) this.paces.clear();
    this.paces.set(record.address, paceMs);
  }

  private remove(id: string): void {
    this.missingSinceMs.delete(id);
    const target = this.targets.get(id);
    if (target === undefined) return;
    this.targets.delete(id);
    this.rememberPace(target);
    target.recordDraining();
    this.options.onRemoved(target);
  }
}

function isSameLife(a: TargetRecord, b: TargetRecord): boolean {
  return a.startedAtMs === b.startedAtMs && a.address === b.address;
}

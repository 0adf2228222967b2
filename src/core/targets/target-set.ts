/** The registered targets that this entry has read from the store. */
import type {Clock} from '../clock/index.js';
import type {SourceChange, SourceItem} from '../edges/state-source.js';
import {REREGISTRATION_GRACE_MS, MAX_REMEMBERED_GAPS} from './consts.js';
import {Target} from './target.js';
import type {TargetRecord} from './types.js';

/**
 * Keeps a `Target` for the current incarnation of each target. A target that is
 * draining or no longer registered gets no new work. If its registration is
 * missing after an outage of the store, it still gets work for a grace period,
 * in which it may register again.
 *
 * @example
 * const targets = new TargetSet({clock, onRemoved: (t) => close(t)});
 * targets.replaceAll(items, false);
 * targets.ofService('drafts');
 */
export class TargetSet {
  private readonly targets = new Map<string, Target>();
  /** Event gaps of removed targets, by address. */
  private readonly eventGaps = new Map<string, number>();
  /** Times at which a registration was found missing, by target id. */
  private readonly missingSinceMs = new Map<string, number>();

  constructor(
    private readonly options: {
      clock: Clock;
      /** Called when a target is removed, starts to drain or was restarted. */
      onRemoved: (target: Target) => void;
      /** Called on each pause of a target with its length in milliseconds. */
      onPaused?: (target: Target, pauseMs: number) => void;
    },
  ) {}

  /** All targets, including draining ones. */
  all(): Iterable<Target> {
    return this.targets.values();
  }

  /** Whether this is the registered incarnation of the target. */
  isCurrent(target: Target): boolean {
    return this.targets.get(target.id) === target;
  }

  /** Targets of a service that take work. */
  ofService(service: string): Target[] {
    const present = this.presentOf(service);
    return present.filter((target) => target.backoffLeftMs() === 0);
  }

  /**
   * Time until a target of a service takes work again, if all of them want none;
   * undefined if some do, or if there are none.
   */
  reopensInMs(service: string): number | undefined {
    const present = this.presentOf(service);
    if (present.length === 0) return undefined;
    const leftMs = Math.min(...present.map((target) => target.backoffLeftMs()));
    return leftMs > 0 ? leftMs : undefined;
  }

  /** Registered targets of a service that are not draining. */
  private presentOf(service: string): Target[] {
    this.removeExpired();
    return [...this.targets.values()].filter(
      ({record}) => record.service === service && !record.isDraining,
    );
  }

  /**
   * Applies a full list of registrations; `afterOutage` is whether the store
   * was unavailable before.
   */
  replaceAll(
    items: ReadonlyArray<SourceItem<TargetRecord>>,
    afterOutage: boolean,
  ): void {
    const registeredIds = new Set<string>();
    for (const {name, value} of items) {
      if (value === undefined) continue;
      registeredIds.add(name);
      this.put(value);
    }
    for (const id of [...this.targets.keys()]) {
      if (registeredIds.has(id)) continue;
      if (afterOutage) this.markMissing(id);
      else this.remove(id);
    }
  }

  /** Applies changes; removes a target whose registration cannot be decoded. */
  applyChanges(changes: ReadonlyArray<SourceChange<TargetRecord>>): void {
    for (const {name, value, isDeleted} of changes) {
      if (isDeleted || value === undefined) this.remove(name);
      else this.put(value);
    }
  }

  private put(record: TargetRecord): void {
    this.missingSinceMs.delete(record.id);
    const known = this.targets.get(record.id);
    if (known !== undefined && isSameIncarnation(known.record, record)) {
      const wasDraining = known.record.isDraining;
      known.updateRecord(record);
      if (record.isDraining && !wasDraining) {
        known.recordDraining();
        this.options.onRemoved(known);
      }
      return;
    }
    if (known !== undefined) this.remove(record.id);
    const {clock, onPaused, onRemoved} = this.options;
    const eventGapMs = this.eventGaps.get(record.address);
    const target = new Target({
      record,
      clock,
      onPaused,
      onLeaving: onRemoved,
      eventGapMs,
    });
    this.targets.set(record.id, target);
  }

  private markMissing(id: string): void {
    if (this.missingSinceMs.has(id)) return;
    this.missingSinceMs.set(id, this.options.clock.now());
  }

  private removeExpired(): void {
    if (this.missingSinceMs.size === 0) return;
    const latestExpiredMs = this.options.clock.now() - REREGISTRATION_GRACE_MS;
    for (const [id, sinceMs] of [...this.missingSinceMs]) {
      if (sinceMs <= latestExpiredMs) this.remove(id);
    }
  }

  /** Stored by address, since a restarted target runs on the same machine. */
  private rememberEventGap({record, eventGapMs}: Target): void {
    if (eventGapMs === undefined) return;
    if (this.eventGaps.size >= MAX_REMEMBERED_GAPS) this.eventGaps.clear();
    this.eventGaps.set(record.address, eventGapMs);
  }

  private remove(id: string): void {
    this.missingSinceMs.delete(id);
    const target = this.targets.get(id);
    if (target === undefined) return;
    this.targets.delete(id);
    this.rememberEventGap(target);
    target.recordDraining();
    this.options.onRemoved(target);
  }
}

function isSameIncarnation(a: TargetRecord, b: TargetRecord): boolean {
  return a.startedAtMs === b.startedAtMs && a.address === b.address;
}

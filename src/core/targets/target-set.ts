/** The registered targets that this entry has read from the store. */
import type {Clock} from '../clock/index.js';
import type {SourceChange, SourceItem} from '../edges/state-source.js';
import {REREGISTRATION_GRACE_MS, MAX_REMEMBERED_GAPS} from './consts.js';
import {GoneTargets, isSameIncarnation} from './gone-targets.js';
import {Target} from './target.js';
import type {TargetRecord} from './types.js';

/** What is known of a list of registrations. */
export interface ListInfo {
  /** Whether targets may be missing that register again soon. */
  readonly afterOutage: boolean;
  /** Whether it is the first since the store was restored from a copy. */
  readonly isRestored: boolean;
}

/** Limits which targets of a service may get work. */
export interface TargetGate {
  /** Returns those of the targets that may get work now. */
  admit(service: string, targets: Target[]): Target[];
  /** Returns the same; changes nothing. */
  peek(service: string, targets: Target[]): Target[];
}

/**
 * Keeps a `Target` for the current incarnation of each target. A target that is
 * draining or no longer registered gets no new work. If its registration is
 * missing after an outage of the store, it still gets work for a grace period,
 * in which it may register again. What a restored store shows of a target that
 * had begun to drain or had left is not believed until the target writes it again.
 *
 * @example
 * const targets = new TargetSet({clock, onRemoved: (t) => close(t)});
 * targets.replaceAll(items, {afterOutage: false, isRestored: false});
 * targets.ofService('drafts');
 */
export class TargetSet {
  private readonly targets = new Map<string, Target>();
  /** Event gaps of removed targets, by address. */
  private readonly eventGaps = new Map<string, number>();
  /** Times at which a registration was found missing, by target id. */
  private readonly missingSinceMs = new Map<string, number>();
  private readonly gone = new GoneTargets();

  constructor(
    private readonly options: {
      clock: Clock;
      /** Called when a target is removed, starts to drain or was restarted. */
      onRemoved: (target: Target) => void;
      /** Called on each pause of a target with its length in milliseconds. */
      onPaused?: (target: Target, pauseMs: number) => void;
      /** Limits which targets of a service may get work now; all by default. */
      gate?: TargetGate;
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
  registeredOf(service: string): Target[] {
    this.removeExpired();
    return [...this.targets.values()].filter(
      ({record}) => record.service === service && !record.isDraining,
    );
  }

  /**
   * All targets of a service, and those that neither drain nor are limited by the
   * gate; changes nothing.
   */
  peekService(service: string): {registered: Target[]; admitted: Target[]} {
    const registered = [...this.targets.values()].filter(
      ({id, record}) => record.service === service && !this.isExpired(id),
    );
    const present = registered.filter(({record}) => !record.isDraining);
    const admitted = this.options.gate?.peek(service, present) ?? present;
    return {registered, admitted};
  }

  /** What `ofService` would return; changes nothing. */
  peekOfService(service: string): Target[] {
    const {admitted} = this.peekService(service);
    return admitted.filter((target) => target.backoffLeftMs() === 0);
  }

  /** Those of them that may get work now. */
  private presentOf(service: string): Target[] {
    const registered = this.registeredOf(service);
    return this.options.gate?.admit(service, registered) ?? registered;
  }

  /** Whether there are registrations that must be listed again to be used. */
  get hasStale(): boolean {
    return this.gone.hasStale;
  }

  /** Applies a full list of registrations. */
  replaceAll(
    items: ReadonlyArray<SourceItem<TargetRecord>>,
    about: ListInfo,
  ): void {
    const {afterOutage, isRestored} = about;
    const records = items.flatMap(({value}) => value ?? []);
    if (isRestored) this.gone.recordRestored(records);
    const registeredIds = new Set(records.map(({id}) => id));
    this.gone.retainListed(registeredIds);
    for (const record of records) {
      if (!this.gone.isStale(record)) this.put(record);
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
      if (isDeleted || value === undefined) this.remove(name, value);
      else this.put(value);
    }
  }

  private put(record: TargetRecord): void {
    this.missingSinceMs.delete(record.id);
    this.gone.recordWritten(record);
    if (record.isDraining) this.gone.add(record);
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
    for (const id of [...this.missingSinceMs.keys()]) {
      if (this.isExpired(id)) this.remove(id);
    }
  }

  private isExpired(id: string): boolean {
    const sinceMs = this.missingSinceMs.get(id) ?? Number.POSITIVE_INFINITY;
    return sinceMs <= this.options.clock.now() - REREGISTRATION_GRACE_MS;
  }

  /** Stored by address, since a restarted target runs on the same machine. */
  private rememberEventGap({record, eventGapMs}: Target): void {
    if (eventGapMs === undefined) return;
    if (this.eventGaps.size >= MAX_REMEMBERED_GAPS) this.eventGaps.clear();
    this.eventGaps.set(record.address, eventGapMs);
  }

  /** `last` is the last registration, if it is known. */
  private remove(id: string, last?: TargetRecord): void {
    this.missingSinceMs.delete(id);
    const target = this.targets.get(id);
    if (target === undefined) return;
    this.gone.add(last ?? target.record);
    this.targets.delete(id);
    this.rememberEventGap(target);
    target.recordDraining();
    this.options.onRemoved(target);
  }
}

/** One order at this entry, with the targets that are open to it. */
import {createHash} from 'node:crypto';

import type {
  PriorUse,
  RolloutSettings,
  RolloutRecord,
} from '../../core/rollouts/index.js';
import {
  isWithinBound,
  openTargets,
  RolloutController,
  RolloutState,
  RolloutStep,
} from '../../core/rollouts/index.js';
import type {Clock} from '../../core/clock/index.js';
import type {Target, TargetRecord} from '../../core/targets/index.js';
import {ExchangeTimer} from './exchange-timer.js';

/**
 * Targets of the new version that may be the only ones to choose from: a retry
 * leaves one out.
 */
const MIN_ALONE = 2;

/**
 * Limits which targets of a service may be chosen while its traffic moves. All
 * entries open the same targets of the new version first, so that these have
 * their full load early.
 *
 * @example
 * const rollout = new Rollout({record, vm, settings, clock});
 * rollout.refreshOpen(registered);
 * rollout.admit(registered);
 */
export class Rollout {
  readonly controller: RolloutController;
  readonly timer = new ExchangeTimer();
  /** Requests of this entry at targets of either version. */
  private readonly open = {old: 0, new: 0};
  /** Whether the order was removed before its end. */
  isWithdrawn = false;
  /** Versions that the order replaces, as seen while it runs. */
  private readonly oldVersions = new Set<string | undefined>();
  private readonly turnedBack?: Rollout;
  private hasUsableOld = true;
  private openIds: ReadonlySet<string> = new Set();
  private readonly scores = new Map<string, string>();

  constructor(options: {
    record: RolloutRecord;
    vm: string;
    settings: RolloutSettings;
    /** VMs of all entries; undefined while they are not known. */
    entries?: () => readonly string[] | undefined;
    priorUse?: PriorUse;
    barred?: ReadonlySet<string>;
    /** The order that this one turns back before its end. */
    turnedBack?: Rollout;
    clock: Clock;
  }) {
    const {turnedBack, barred = []} = options;
    this.turnedBack = turnedBack;
    const left = turnedBack?.controller.record.target;
    this.controller = new RolloutController({
      ...options,
      barred: new Set(left === undefined ? barred : [...barred, left]),
      isWayBack: turnedBack !== undefined,
    });
  }

  /** Requests of this entry at targets of versions that are to be left. */
  get oldOpen(): number {
    return this.open.old + (this.turnedBack?.open.new ?? 0);
  }

  /** Records that a request is sent; returns what records its end. */
  recordOpen(isNew: boolean): () => void {
    const version = isNew ? 'new' : 'old';
    this.open[version]++;
    return () => void this.open[version]--;
  }

  /** Whether an order for a version would turn this one back. */
  isTurnedBackBy(version: string): boolean {
    return this.controller.end === undefined && this.oldVersions.has(version);
  }

  /** Whether the order neither has ended nor was removed. */
  get isRunning(): boolean {
    return !this.controller.isOver && !this.isWithdrawn;
  }

  /** Whether a request may be sent to the new version whatever chose it. */
  get mayUseNew(): boolean {
    const {controller} = this;
    const isCompleted = controller.end === RolloutState.COMPLETED;
    const isUnbound = this.isWithdrawn && controller.end === undefined;
    if (isCompleted || isUnbound) return true;
    if (this.isWithdrawn) return false;
    return controller.maySendToNew() || this.mustUseNew;
  }

  /** Whether the old version can no longer stand in for a trusted one. */
  private get mustUseNew(): boolean {
    const {controller, hasUsableOld} = this;
    if (controller.end !== undefined || !controller.hasRead) return false;
    return !isWithinBound(controller.step) && !hasUsableOld;
  }

  isNew({version}: TargetRecord): boolean {
    return version === this.controller.record.target;
  }

  /** Whether an earlier order has found the version of a target bad. */
  private isBarred({version}: Pick<TargetRecord, 'version'>): boolean {
    return version !== undefined && this.controller.barred.has(version);
  }

  /** A bar never leaves a service without targets that may serve. */
  private withoutBarred(targets: Target[]): Target[] {
    const isCompleted = this.controller.end === RolloutState.COMPLETED;
    const serves = ({record}: Target) => isCompleted || !this.isNew(record);
    const open = targets.filter(({record}) => !this.isBarred(record));
    const wouldEmpty = targets.some(serves) && !open.some(serves);
    return wouldEmpty ? targets : open;
  }

  /** Tells the controller which versions there are; see its `observe`. */
  observe(registered: readonly Target[]): boolean {
    const ofNew = registered.filter(({record}) => this.isNew(record));
    return this.controller.observe({
      targets: ofNew.length,
      hasOthers: [...this.oldVersions].some(
        (version) => !this.isBarred({version}),
      ),
    });
  }

  /** Chooses the targets that are open; returns how many new ones there are. */
  refreshOpen(registered: readonly Target[]): number {
    for (const {record} of registered)
      if (!this.isNew(record) && !this.isBarred(record))
        this.oldVersions.add(record.version);
    const ofNew = registered.filter(({record}) => this.isNew(record));
    const {step, share} = this.controller;
    const count = openTargets({step, share, targets: ofNew.length});
    const rank = (target: Target) =>
      (target.isPaused() ? 2 : 0) +
      (target.record.isWarmingUp === true ? 1 : 0);
    const sorted = [...ofNew].sort(
      (a, b) =>
        rank(a) - rank(b) || (this.scoreOf(a) < this.scoreOf(b) ? -1 : 1),
    );
    this.openIds = new Set(sorted.slice(0, count).map(({id}) => id));
    return ofNew.filter((target) => !target.isPaused()).length;
  }

  /** Returns the targets that may get a request now. */
  admit(targets: Target[]): Target[] {
    const {controller} = this;
    const registered = this.withoutBarred(targets);
    const old = registered.filter(({record}) => !this.isNew(record));
    if (controller.isUninformed && this.isRunning && hasTwoVersions(old))
      return [];
    if (this.isWithdrawn && controller.end === undefined)
      return old.length > 0 ? old : registered;
    if (controller.end === RolloutState.ROLLED_BACK) return old;
    const ofNew = registered.filter(({record}) => this.isNew(record));
    if (controller.end === RolloutState.COMPLETED)
      return this.withoutReplaced(registered);
    this.hasUsableOld = old.some((target) => !target.isPaused());
    if (controller.hasStaleEvidence && !this.mustUseNew) return old;
    const {step} = controller;
    if (step === RolloutStep.FULL)
      return ofNew.some((target) => !target.isPaused()) ? ofNew : registered;
    if (!isWithinBound(step) && controller.hasStaleEvidence) return registered;
    if (!controller.allowed().new) return old;
    if (!isWithinBound(step)) return registered;
    const open = ofNew.filter(({id}) => this.openIds.has(id));
    const usable = open.filter((t) => !t.isPaused() && !t.isFull());
    // Choosers avoid targets that fail, and so would hide a bad version.
    return usable.length >= MIN_ALONE ? usable : [...old, ...open];
  }

  /** Later versions than those of the order are of no concern to it. */
  private withoutReplaced(registered: Target[]): Target[] {
    const kept = registered.filter(
      ({record}) => !this.oldVersions.has(record.version),
    );
    return kept.length > 0 ? kept : registered;
  }

  private scoreOf({id}: Target): string {
    const known = this.scores.get(id);
    if (known !== undefined) return known;
    const {id: order} = this.controller.record;
    const score = createHash('sha1').update(`${order}\n${id}`).digest('hex');
    this.scores.set(id, score);
    return score;
  }
}

function hasTwoVersions(targets: readonly Target[]): boolean {
  return new Set(targets.map(({record}) => record.version)).size > 1;
}

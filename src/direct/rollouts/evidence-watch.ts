/** Tells operators when the evidence of a roll-out is too old to judge by. */
import type {Clock} from '../../core/clock/index.js';
import type {Logger} from '../../core/logs/index.js';
import type {Metrics} from '../../core/metrics/index.js';
import {CounterName} from '../../core/metrics/index.js';
import type {
  ProcessDelays,
  RolloutController,
} from '../../core/rollouts/index.js';

/** Least time between two lines on one order, in milliseconds. */
const LINE_GAP_MS = 5_000;

/** Part of the age of the evidence from which a pause is its cause. */
const PAUSED_PART = 0.5;

/** Why evidence is old. */
export enum OldEvidence {
  /** This entry could not read the rows of the others. */
  UNREAD = 'unread',
  /** This process was not run. */
  PAUSED = 'paused',
  /** Another entry has written no row for too long. */
  SILENT = 'silent',
}

/** What was last told of one order. */
interface ToldOrder {
  readonly id: string;
  oldSinceMs?: number;
  lineAtMs: number;
  silent: ReadonlySet<string>;
}

/** Dependencies of the watch. */
export interface EvidenceWatchOptions {
  readonly delays: Pick<ProcessDelays, 'totalMs'>;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/**
 * Counts each time that evidence becomes old, and logs it at a bounded rate.
 *
 * @example
 * const watch = new EvidenceWatch({delays, clock, logger, metrics});
 * watch.update(rollout.controller);
 */
export class EvidenceWatch {
  private readonly told = new Map<string, ToldOrder>();
  private delaysMs = 0;
  /** Delays of this process between the last two updates. */
  private pausedMs = 0;

  constructor(private readonly options: EvidenceWatchOptions) {}

  /** Records how long this process was kept from running; before `update`. */
  beginRound(): void {
    const {totalMs} = this.options.delays;
    this.pausedMs = totalMs - this.delaysMs;
    this.delaysMs = totalMs;
  }

  /** Compares the evidence of a running order with what was told of it. */
  update(controller: RolloutController): void {
    if (controller.end !== undefined) return;
    const told = this.toldOf(controller);
    this.checkOwn(controller, told);
    this.checkOthers(controller, told);
  }

  private toldOf({record: {service, id}}: RolloutController): ToldOrder {
    const known = this.told.get(service);
    if (known?.id === id) return known;
    const lineAtMs = Number.NEGATIVE_INFINITY;
    const told: ToldOrder = {id, lineAtMs, silent: new Set()};
    this.told.set(service, told);
    return told;
  }

  private checkOwn(controller: RolloutController, told: ToldOrder): void {
    const nowMs = this.options.clock.now();
    const wasOld = told.oldSinceMs !== undefined;
    if (controller.hasStaleEvidence === wasOld) return;
    told.oldSinceMs = wasOld ? undefined : nowMs;
    if (wasOld) return;
    const {evidenceAgeMs} = controller;
    const isPaused = this.pausedMs >= evidenceAgeMs * PAUSED_PART;
    const reason = isPaused ? OldEvidence.PAUSED : OldEvidence.UNREAD;
    this.tell(controller, told, {reason, ageMs: Math.round(evidenceAgeMs)});
  }

  private checkOthers(controller: RolloutController, told: ToldOrder): void {
    // Without reads all of them seem silent.
    if (controller.hasStaleEvidence) return;
    const silent = new Set(controller.silentEntries);
    const added = [...silent].filter((vm) => !told.silent.has(vm));
    told.silent = silent;
    if (added.length === 0) return;
    this.tell(controller, told, {reason: OldEvidence.SILENT, entries: added});
  }

  private tell(
    {record, step}: RolloutController,
    told: ToldOrder,
    about: {reason: OldEvidence; ageMs?: number; entries?: string[]},
  ): void {
    const {metrics, logger, clock} = this.options;
    const {reason: label, entries} = about;
    metrics.count(CounterName.ROLLOUT_OLD_EVIDENCE, {label});
    if (clock.now() - told.lineAtMs < LINE_GAP_MS) return;
    told.lineAtMs = clock.now();
    const {service, target} = record;
    const fields = {...about, entries: entries?.join(' '), step};
    logger.warn('roll-out evidence is old', {service, target, ...fields});
  }
}

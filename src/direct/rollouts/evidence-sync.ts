/** Shares the evidence of running roll-outs with the other entries. */
import type {Clock, RandomSource} from '../../core/clock/index.js';
import type {RolloutEdges} from '../../core/edges/rollout-edges.js';
import type {SourceItem} from '../../core/edges/state-source.js';
import type {Logger} from '../../core/logs/index.js';
import type {EvidenceRow, RolloutSettings} from '../../core/rollouts/index.js';
import {rowIntervalMs, RolloutStep} from '../../core/rollouts/index.js';
import type {Supervisor} from '../../core/supervision/index.js';
import {TaskName} from '../../core/supervision/index.js';
import type {Follower, OutageGate} from '../../core/sync/index.js';
import {createStoreFollower} from '../store-follower.js';
import {
  EVIDENCE_LONG_POLL_MS,
  EVIDENCE_LONG_POLL_PART,
  EVIDENCE_PAUSE_MS,
  URGENT_WRITE_MS,
} from './consts.js';
import type {Rollout} from './rollout.js';

/** Dependencies of the sharing of evidence. */
export interface EvidenceSyncOptions {
  readonly vm: string;
  readonly settings: RolloutSettings;
  readonly edges: RolloutEdges;
  /** All roll-outs that this entry knows. */
  readonly rollouts: () => Iterable<Rollout>;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly supervisor: Supervisor;
  readonly gate: OutageGate;
}

/** What this entry has written for one service. */
interface WrittenRow {
  atMs: number;
  /** News of the last row; undefined if it was not written. */
  news?: string;
  isWriting: boolean;
}

/**
 * Follows the rows of the other entries, and writes this entry's at a bounded
 * rate, only while an order runs. A row is removed with the end of its order.
 *
 * @example
 * const sync = new EvidenceSync(options);
 * sync.update();
 */
export class EvidenceSync {
  private follower?: Follower<EvidenceRow>;
  private readonly written = new Map<string, WrittenRow>();

  constructor(private readonly options: EvidenceSyncOptions) {}

  /** Starts or stops to follow, and writes what is due. */
  update(): void {
    const running = [...this.options.rollouts()].filter((r) => r.isRunning);
    if (running.length > 0) this.follow();
    else this.stop();
    for (const rollout of running) this.writeIfDue(rollout);
    const services = new Set(
      running.map(({controller}) => controller.record.service),
    );
    for (const service of [...this.written.keys()])
      if (!services.has(service)) this.remove(service);
  }

  stop(): void {
    this.follower?.stop();
    this.follower = undefined;
  }

  private follow(): void {
    if (this.follower !== undefined) return;
    const {edges, settings} = this.options;
    const waitMs = settings.rollbackMs * EVIDENCE_LONG_POLL_PART;
    this.follower = createStoreFollower({
      ...this.options,
      what: 'rollout evidence',
      source: edges.evidenceSource,
      waitMs: Math.min(waitMs, EVIDENCE_LONG_POLL_MS),
      pauseMs: EVIDENCE_PAUSE_MS,
      onSnapshot: (items) => this.hear(items),
      onChanges: (changes) => {
        this.hear(changes.filter(({isDeleted}) => !isDeleted));
        for (const {name, isDeleted} of changes)
          if (isDeleted) this.forget(name);
      },
      onConfirmed: ({atMs}) => {
        for (const {controller} of this.options.rollouts())
          controller.recordRead(atMs);
      },
    });
    this.follower.start();
  }

  private hear(items: ReadonlyArray<SourceItem<EvidenceRow>>): void {
    for (const {value} of items) {
      if (value === undefined) continue;
      for (const {controller} of this.options.rollouts())
        controller.hear(value);
    }
  }

  private forget(name: string): void {
    for (const {controller} of this.options.rollouts()) {
      const prefix = `${controller.record.service}.`;
      if (name.startsWith(prefix)) controller.forget(name.slice(prefix.length));
    }
  }

  private writeIfDue(rollout: Rollout): void {
    const {clock, supervisor} = this.options;
    const {service} = rollout.controller.record;
    const last = this.written.get(service);
    // The row of an earlier process of this VM is read before it is replaced.
    if (last?.isWriting === true || !rollout.controller.hasRead) return;
    const row = rollout.controller.row(rollout.oldOpen);
    const {readSinceMs} = rollout.controller;
    const news = `${newsOf(row)} ${readSinceMs}`;
    const sinceMs = clock.now() - (last?.atMs ?? Number.NEGATIVE_INFINITY);
    const dueMs =
      last?.news === news
        ? rowIntervalMs(rollout.controller.record)
        : URGENT_WRITE_MS;
    if (sinceMs < dueMs) return;
    const written: WrittenRow = {atMs: clock.now(), news, isWriting: true};
    this.written.set(service, written);
    supervisor.run({name: TaskName.ROLLOUT}, async () => {
      const {edges, vm} = this.options;
      const result = await edges.evidenceWriter.upsert(`${service}.${vm}`, row);
      written.isWriting = false;
      // Written again as soon as a write is due.
      if (result.isErr()) written.news = undefined;
    });
  }

  private remove(service: string): void {
    const {edges, supervisor, vm} = this.options;
    this.written.delete(service);
    supervisor.run({name: TaskName.ROLLOUT}, async () => {
      await edges.evidenceWriter.remove(`${service}.${vm}`);
    });
  }
}

/**
 * What the others should know soon: a step, a verdict, no more old requests, and,
 * as they wait for it, that this entry is there after an outage of the store.
 */
function newsOf({step, bad, oldOpen}: EvidenceRow): string {
  const isDrained = step === RolloutStep.FULL && oldOpen === 0;
  return `${step} ${bad} ${isDrained}`;
}

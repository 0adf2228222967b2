/** The roll-outs that are ordered, as this entry follows and serves them. */
import type {Clock, RandomSource, TimerHandle} from '../../core/clock/index.js';
import type {DirectTargets} from '../../core/edges/direct-target.js';
import type {RolloutEdges} from '../../core/edges/rollout-edges.js';
import type {PermitPeers} from '../../core/limits/index.js';
import type {Logger} from '../../core/logs/index.js';
import type {Metrics} from '../../core/metrics/index.js';
import {CounterName} from '../../core/metrics/index.js';
import type {
  RolloutRecord,
  RolloutSettings,
} from '../../core/rollouts/index.js';
import {
  PriorUse,
  ProcessDelays,
  RolloutState,
  RolloutStep,
  VersionBaseline,
} from '../../core/rollouts/index.js';
import type {Supervisor} from '../../core/supervision/index.js';
import {TaskName} from '../../core/supervision/index.js';
import type {Follower, OutageGate} from '../../core/sync/index.js';
import type {Target, TargetGate, TargetSet} from '../../core/targets/index.js';
import {createStoreFollower} from '../store-follower.js';
import {ORDERS_LONG_POLL_MS, UPDATE_MS} from './consts.js';
import {CountedTargets} from './counted-targets.js';
import {EvidenceSync} from './evidence-sync.js';
import {EvidenceWatch} from './evidence-watch.js';
import {Rollout} from './rollout.js';
import {StatusWriting} from './status-writing.js';

/** Dependencies of the roll-outs of an entry. */
export interface RolloutKeeperOptions {
  readonly vm: string;
  readonly settings: RolloutSettings;
  readonly edges: RolloutEdges;
  /** The other entries, as far as they are known. */
  readonly permitPeers: Pick<PermitPeers, 'entries'>;
  readonly gate: OutageGate;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly supervisor: Supervisor;
}

/**
 * Follows the orders, limits which targets may be chosen, counts what they
 * answer, and tells the others and the operator. Without an order only the wait
 * for one remains.
 *
 * @example
 * const keeper = new RolloutKeeper(options);
 * const targets = new TargetSet({clock, onRemoved, gate: keeper});
 * keeper.start(targets);
 */
export class RolloutKeeper implements TargetGate {
  private readonly rollouts = new Map<string, Rollout>();
  /** Versions that were found bad and get nothing, by service. */
  private readonly barred = new Map<string, Set<string>>();
  private readonly baseline = new VersionBaseline();
  private readonly delays: ProcessDelays;
  private readonly evidence: EvidenceSync;
  private readonly watch: EvidenceWatch;
  private readonly status: StatusWriting;
  private readonly orders: Follower<RolloutRecord>;
  private targets?: TargetSet;
  private timer?: TimerHandle;
  private ordersKnownAtMs?: number;
  private isStopped = false;

  constructor(private readonly options: RolloutKeeperOptions) {
    const {edges} = options;
    this.delays = new ProcessDelays(options);
    this.watch = new EvidenceWatch({...options, delays: this.delays});
    this.evidence = new EvidenceSync({
      ...options,
      rollouts: () => this.rollouts.values(),
    });
    this.status = new StatusWriting({...options, writer: edges.status});
    this.orders = createStoreFollower({
      ...options,
      what: 'rollouts',
      source: edges.orders,
      waitMs: ORDERS_LONG_POLL_MS,
      onSnapshot: (items, about) => {
        const names = new Set(items.map(({name}) => name));
        for (const {value} of items) this.put(value, about);
        for (const service of this.rollouts.keys())
          if (!names.has(service)) this.withdraw(service);
      },
      onChanges: (changes) => {
        for (const {name, value, isDeleted} of changes)
          if (isDeleted) this.withdraw(name);
          else this.put(value);
      },
      onConfirmed: ({atMs}) => (this.ordersKnownAtMs = atMs),
    });
  }

  /** Whether the orders were read, so that new versions are told from old. */
  get hasLoaded(): boolean {
    return this.ordersKnownAtMs !== undefined;
  }

  start(targets: TargetSet): void {
    this.targets = targets;
    this.orders.start();
  }

  stop(): void {
    this.isStopped = true;
    this.orders.stop();
    this.evidence.stop();
    this.timer?.cancel();
    this.delays.stop();
  }

  /** Returns a client that counts what is sent during a roll-out. */
  wrap(client: DirectTargets): DirectTargets {
    return new CountedTargets({
      ...this.options,
      client,
      delays: this.delays,
      rolloutOf: (service) => this.rollouts.get(service),
    });
  }

  admit(service: string, targets: Target[]): Target[] {
    const held = this.baseline.held(this.toHoldQuery(service, targets));
    return this.admitUnheld({service, targets, held});
  }

  peek(service: string, targets: Target[]): Target[] {
    const held = this.baseline.peek(this.toHoldQuery(service, targets));
    return this.admitUnheld({service, targets, held});
  }

  private toHoldQuery(service: string, targets: readonly Target[]) {
    return {
      service,
      versions: new Set(targets.map((target) => versionOf(target))),
      nowMs: this.options.clock.now(),
      ordersKnownAtMs: this.ordersKnownAtMs,
    };
  }

  private admitUnheld(options: {
    service: string;
    targets: Target[];
    held: ReadonlySet<string>;
  }): Target[] {
    const {service, targets, held} = options;
    const rollout = this.rollouts.get(service);
    const open =
      rollout?.admit(this.withoutBarred(service, targets)) ?? targets;
    if (rollout?.isRunning === true || held.size === 0) return open;
    const rest = open.filter((target) => !held.has(versionOf(target)));
    // Without an order about them, the only targets there are must serve.
    return rest.length > 0 || !this.hasLoaded ? rest : open;
  }

  /** Versions that earlier orders of a service have found bad. */
  private withoutBarred(service: string, targets: Target[]): Target[] {
    const barred = this.barred.get(service);
    if (barred === undefined || barred.size === 0) return targets;
    return targets.filter((target) => !barred.has(versionOf(target)));
  }

  /** An order that cannot be read leaves the one before it in force. */
  private put(
    record: RolloutRecord | undefined,
    about?: {readonly isRestored: boolean},
  ): void {
    if (record === undefined) return;
    const known = this.rollouts.get(record.service);
    if (known?.controller.record.id === record.id) {
      const wasOver = known.controller.isOver;
      known.isWithdrawn = false;
      known.controller.updateRecord(record, about);
      if (!wasOver && known.controller.isOver) this.logEnd(known);
    } else this.begin(record, known);
    this.update();
  }

  private begin(record: RolloutRecord, before: Rollout | undefined): void {
    const {vm, settings, clock, logger, permitPeers} = this.options;
    const {service, target, durationMs} = record;
    const entries = () => permitPeers.entries;
    for (const version of before?.controller.barred ?? [])
      this.bar(service, version);
    if (before?.controller.end === RolloutState.ROLLED_BACK)
      this.bar(service, before.controller.record.target);
    this.barred.get(service)?.delete(target);
    const priorUse = this.hasLoaded
      ? this.baseline.priorUse(service, target)
      : PriorUse.UNKNOWN;
    const rollout = new Rollout({
      record,
      vm,
      settings,
      entries,
      priorUse,
      barred: this.barred.get(service),
      turnedBack: before?.isTurnedBackBy(target) === true ? before : undefined,
      clock,
    });
    this.rollouts.set(service, rollout);
    logger.info('roll-out ordered', {
      service,
      target,
      durationMs,
      state: record.status?.state,
    });
    if (rollout.controller.isOver) this.logEnd(rollout);
  }

  private bar(service: string, version: string): void {
    const barred = this.barred.get(service) ?? new Set();
    barred.add(version);
    this.barred.set(service, barred);
  }

  private withdraw(service: string): void {
    const rollout = this.rollouts.get(service);
    if (rollout === undefined || rollout.isWithdrawn) return;
    rollout.isWithdrawn = true;
    const {target} = rollout.controller.record;
    this.options.logger.warn('roll-out withdrawn', {service, target});
    this.update();
  }

  /** Decides on all running orders, and goes on while there are some. */
  private update(): void {
    const {clock, supervisor} = this.options;
    this.timer?.cancel();
    this.timer = undefined;
    if (this.isStopped) return;
    const running = [...this.rollouts.values()].filter((r) => r.isRunning);
    if (running.length > 0) this.delays.start();
    else this.delays.stop();
    // Scheduled first, so that a failure does not end the loop.
    if (running.length > 0) {
      const task = {name: TaskName.ROLLOUT};
      const run = supervisor.guard(task, () => this.update());
      this.timer = clock.schedule({delayMs: UPDATE_MS, run});
    }
    this.watch.beginRound();
    for (const rollout of running) this.updateOne(rollout);
    this.evidence.update();
  }

  private updateOne(rollout: Rollout): void {
    const {controller} = rollout;
    const {service} = controller.record;
    const registered = this.targets?.registeredOf(service) ?? [];
    const newTargets = rollout.refreshOpen(registered);
    this.watch.update(controller);
    if (rollout.observe(registered)) this.logInUse(rollout);
    if (controller.update({newTargets})) {
      rollout.refreshOpen(registered);
      this.logStep(rollout);
    }
    this.status.update(rollout);
  }

  private logStep({controller, oldOpen}: Rollout): void {
    const {logger, metrics} = this.options;
    const {record, bad, budget, ageMs} = controller;
    const step = bad === undefined ? RolloutStep[controller.step] : 'BAD';
    metrics.count(CounterName.ROLLOUT_STEPS, {label: step.toLowerCase()});
    logger.info(
      bad === undefined ? 'roll-out goes on' : 'roll-out turns back',
      {
        service: record.service,
        target: record.target,
        step,
        share: controller.share,
        reason: bad,
        ageMs: Math.round(ageMs),
        sent: budget.sent,
        total: budget.total,
        oldOpen,
      },
    );
  }

  private logInUse({controller}: Rollout): void {
    const {service, target} = controller.record;
    this.options.logger.info('roll-out is to a version in use', {
      service,
      target,
    });
  }

  private logEnd({controller}: Rollout): void {
    const {logger, metrics} = this.options;
    const {service, target} = controller.record;
    const label = String(controller.end);
    metrics.count(CounterName.ROLLOUT_STEPS, {label});
    logger.info('roll-out ended', {service, target, state: label});
  }
}

function versionOf({record}: Target): string {
  return record.version ?? '';
}

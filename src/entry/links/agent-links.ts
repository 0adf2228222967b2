/** Keeps the links of this entry to the agents of targets. */
import type {Maybe} from 'purify-ts';

import type {Clock, RandomSource, TimerHandle} from '../../core/clock/index.js';
import {RecoveryGoal} from '../../core/config/index.js';
import type {PeerStatus, VmRecord} from '../../core/edges/index.js';
import {VmRole, VmState} from '../../core/edges/index.js';
import type {RecoveryPolicy} from '../../core/generation/index.js';
import {resolveRecoveryPolicy} from '../../core/generation/index.js';
import {selectSubset} from '../../core/membership/index.js';
import type {Logger} from '../../core/logs/index.js';
import type {Metrics} from '../../core/metrics/index.js';
import type {HelloMessage} from '../../core/protocol/index.js';
import type {TargetView} from '../../core/routing/index.js';
import type {Supervisor} from '../../core/supervision/index.js';
import {TaskName} from '../../core/supervision/index.js';
import type {AgentConfigSource} from './link-handler.js';
import {AgentLink} from './agent-link.js';
import {PAUSE_DETECTION_MS, LINK_PIN_MS, SILENCE_CHECK_MS} from '../consts.js';
import type {EntryBoard} from '../entry-board.js';

/**
 * Updates the links from the VM list and checks each of them for silence. An
 * entry has links to a subset of the targets, and to others while it needs
 * them.
 */
export class AgentLinks {
  private readonly links = new Map<string, AgentLink>();
  /** Links to former addresses of a VM, kept until their work has ended. */
  private readonly retired = new Set<AgentLink>();
  /** Until when links outside the subset are kept, by VM name. */
  private readonly pinnedUntilMs = new Map<string, number>();
  private readonly timers: TimerHandle[] = [];
  private checkedAtMs = 0;

  constructor(
    private readonly options: {
      board: EntryBoard;
      hello: HelloMessage;
      config: AgentConfigSource;
      clock: Clock;
      random: RandomSource;
      metrics: Metrics;
      logger: Logger;
      supervisor: Supervisor;
    },
  ) {}

  open(): void {
    const {clock, board, supervisor} = this.options;
    const task = {name: TaskName.TARGETS};
    this.checkedAtMs = clock.now();
    this.timers.push(
      clock.repeat({
        periodMs: SILENCE_CHECK_MS,
        run: supervisor.guard(task, () => this.check()),
      }),
    );
    board.vms.subscribe(
      supervisor.guard(task, (records: readonly VmRecord[]) =>
        this.reconcile(records),
      ),
    );
    board.config.subscribe(
      supervisor.guard(task, () => this.applyRecoveryGoal()),
    );
  }

  close(): void {
    for (const timer of this.timers) timer.cancel();
    for (const link of this.links.values()) link.stop();
    for (const link of this.retired) link.stop();
  }

  /**
   * Returns the link to a target. For a target outside the subset, it is opened
   * and may not be connected yet; undefined if the VM list lacks the target.
   */
  find(vm: string): AgentLink | undefined {
    return this.links.get(vm) ?? this.pin(vm);
  }

  /** Returns the states of the targets, for the status document. */
  statuses(): PeerStatus[] {
    return [...this.links.values()].map((link) => {
      const view = link.view();
      const {vm, dataCentre} = view;
      const {configVersion} = link;
      return {vm, dataCentre, state: stateOf(view), configVersion};
    });
  }

  /** Returns the views of all targets with a link. */
  views(): TargetView[] {
    return [...this.links.values()].map((link) => link.view());
  }

  /** Returns the recovery policy of the active configuration. */
  policy(): RecoveryPolicy {
    return resolveRecoveryPolicy(
      this.recoveryGoal().orDefault(RecoveryGoal.LATENCY),
    );
  }

  private recoveryGoal(): Maybe<RecoveryGoal> {
    const active = this.options.board.config.get();
    return active.map(({cfg}) => cfg.recovery.weigh);
  }

  private applyRecoveryGoal(): void {
    this.recoveryGoal().ifJust((goal) => {
      for (const link of this.links.values()) link.setRecoveryGoal(goal);
    });
  }

  private reconcile(records: readonly VmRecord[]): void {
    const targets = records.filter((vm) => vm.role === VmRole.TARGET);
    const names = new Set(targets.map((vm) => vm.name));
    const subset = this.selectSubset(records, targets);
    for (const vm of targets) {
      this.options.supervisor.run({name: TaskName.TARGETS}, () => {
        if (subset.has(vm.name) || this.isNeeded(vm.name)) this.addOrUpdate(vm);
        else this.drop(vm.name);
      });
    }
    for (const [name, link] of this.links) {
      if (names.has(name)) continue;
      // While it is connected, its work may finish but it receives no new work.
      link.markUnlisted();
      if (link.isConnected()) continue;
      link.stop();
      this.links.delete(name);
      this.options.logger.info(
        'target removed: not in the VM list and not connected',
        {target: name},
      );
    }
  }

  private selectSubset(
    records: readonly VmRecord[],
    targets: readonly VmRecord[],
  ): ReadonlySet<string> {
    const live = records.filter(({state}) => state === VmState.LIVE);
    const entries = live.filter(({role}) => role === VmRole.ENTRY);
    return selectSubset({
      self: this.options.hello.vm,
      entries: entries.map(({name}) => name),
      targets: targets.map(({name, service}) => ({vm: name, service})),
    });
  }

  /** Whether a link outside the subset is still needed. */
  private isNeeded(vm: string): boolean {
    if (this.links.get(vm)?.isBusy() === true) return true;
    return (this.pinnedUntilMs.get(vm) ?? 0) > this.options.clock.now();
  }

  private drop(vm: string): void {
    this.pinnedUntilMs.delete(vm);
    this.links.get(vm)?.stop();
    this.links.delete(vm);
  }

  /**
   * Opens a link to a target outside the subset, named by a claim or an event
   * ID, and keeps it for at least `LINK_PIN_MS`.
   */
  private pin(vm: string): AgentLink | undefined {
    const record = this.options.board.vms
      .get()
      .find(({name, role}) => name === vm && role === VmRole.TARGET);
    if (record === undefined) return undefined;
    this.pinnedUntilMs.set(vm, this.options.clock.now() + LINK_PIN_MS);
    this.addOrUpdate(record);
    return this.links.get(vm);
  }

  private addOrUpdate(record: VmRecord): void {
    const existing = this.links.get(record.name);
    if (existing?.hasAddress(record) === true) {
      existing.updateRecord(record);
      return;
    }
    if (existing !== undefined) this.retire(existing);
    const link = new AgentLink(record, this.options);
    this.recoveryGoal().ifJust((goal) => link.setRecoveryGoal(goal));
    this.links.set(record.name, link);
    link.start();
    this.options.logger.info('target added: connecting to its agent', {
      target: record.name,
    });
  }

  private retire(link: AgentLink): void {
    link.markUnlisted();
    this.retired.add(link);
  }

  private dropRetired(): void {
    for (const link of this.retired) {
      if (link.isBusy() && link.isConnected()) continue;
      link.stop();
      this.retired.delete(link);
    }
  }

  private check(): void {
    const nowMs = this.options.clock.now();
    const lateMs = nowMs - this.checkedAtMs - SILENCE_CHECK_MS;
    this.checkedAtMs = nowMs;
    const wasPaused = lateMs > PAUSE_DETECTION_MS;
    const policy = this.policy();
    this.dropRetired();
    for (const link of [...this.links.values(), ...this.retired]) {
      this.options.supervisor.run({name: TaskName.TARGETS}, () => {
        // After a pause of this process, silence is no evidence of a failure.
        if (wasPaused) link.resetSilence();
        else link.checkSilence(policy);
        link.sendConfigIfDue();
      });
    }
  }
}

function stateOf(view: TargetView): string {
  if (view.draining) return 'leaving';
  return view.usable ? 'usable' : 'unusable';
}

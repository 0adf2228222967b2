/** Keeps a link to each target of the VM list. */
import type {Clock, RandomSource, TimerHandle} from '../core/clock/index.js';
import type {PeerStatus, VmRecord} from '../core/edges/index.js';
import {VmRole} from '../core/edges/index.js';
import type {Logger} from '../core/logs/index.js';
import type {Metrics} from '../core/metrics/index.js';
import type {HelloMessage} from '../core/protocol/index.js';
import type {TargetView} from '../core/routing/index.js';
import type {AgentConfig} from './agent-link.js';
import {AgentLink} from './agent-link.js';
import {PAUSE_EVIDENCE_MS, SILENCE_CHECK_MS} from './consts.js';
import type {EntryBoard} from './entry-board.js';

/** Follows the VM list and watches every link for silence. */
export class AgentLinks {
  private readonly links = new Map<string, AgentLink>();
  /** Links to earlier addresses of a VM, until their work has ended. */
  private readonly retired = new Set<AgentLink>();
  private readonly timers: TimerHandle[] = [];
  private checkedAtMs = 0;

  constructor(
    private readonly options: {
      board: EntryBoard;
      hello: HelloMessage;
      config: AgentConfig;
      clock: Clock;
      random: RandomSource;
      metrics: Metrics;
      logger: Logger;
    },
  ) {}

  open(): void {
    const {clock} = this.options;
    this.checkedAtMs = clock.now();
    this.timers.push(
      clock.repeat({periodMs: SILENCE_CHECK_MS, run: () => this.check()}),
    );
    this.options.board.vms.subscribe((records) => this.follow(records));
  }

  close(): void {
    for (const timer of this.timers) timer.cancel();
    for (const link of this.links.values()) link.stop();
    for (const link of this.retired) link.stop();
  }

  find(vm: string): AgentLink | undefined {
    return this.links.get(vm);
  }

  /** The targets as operators see them. */
  statuses(): PeerStatus[] {
    return [...this.links.values()].map((link) => {
      const view = link.view();
      const {vm, dataCentre} = view;
      const {configVersion} = link;
      return {vm, dataCentre, state: stateOf(view), configVersion};
    });
  }

  /** The views of all targets. */
  views(): TargetView[] {
    return [...this.links.values()].map((link) => link.view());
  }

  private follow(records: readonly VmRecord[]): void {
    const targets = records.filter((vm) => vm.role === VmRole.TARGET);
    const names = new Set(targets.map((vm) => vm.name));
    for (const vm of targets) this.addOrUpdate(vm);
    for (const [name, link] of this.links) {
      if (names.has(name)) continue;
      // What it runs may end, but it gets no new work.
      link.markUnlisted();
      if (link.isConnected()) continue;
      link.stop();
      this.links.delete(name);
      this.options.logger.info('target removed', {target: name});
    }
  }

  private addOrUpdate(record: VmRecord): void {
    const known = this.links.get(record.name);
    if (known?.isAt(record) === true) {
      known.updateRecord(record);
      return;
    }
    if (known !== undefined) this.retire(known);
    const link = new AgentLink(record, this.options);
    this.links.set(record.name, link);
    link.start();
    this.options.logger.info('target added', {target: record.name});
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
    const paused = lateMs > PAUSE_EVIDENCE_MS;
    this.dropRetired();
    for (const link of [...this.links.values(), ...this.retired]) {
      // After a pause of this process, silence says nothing of the others.
      if (paused) link.forgiveSilence();
      else link.checkSilence();
      link.offerConfig();
    }
  }
}

function stateOf(view: TargetView): string {
  if (view.leaving) return 'leaving';
  return view.usable ? 'usable' : 'unusable';
}

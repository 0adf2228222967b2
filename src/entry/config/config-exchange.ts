/** Exchanges the configuration with other entries. */
import type {Clock, TimerHandle} from '../../core/clock/index.js';
import {ExchangeStep} from '../../core/config/distribution/index.js';
import type {PeerStatus} from '../../core/edges/index.js';
import type {
  ConfigMessage,
  ConfigReportMessage,
  Message,
  MessageRouter,
} from '../../core/protocol/index.js';
import {MessageType} from '../../core/protocol/index.js';
import type {Supervisor} from '../../core/supervision/index.js';
import {TaskName} from '../../core/supervision/index.js';
import type {ConfigActivator} from './config-activator.js';
import {CONFIG_ANNOUNCE_PERIOD_MS} from '../consts.js';
import type {EntryBoard} from '../entry-board.js';

/** A connection to a process that takes part in the exchange. */
export interface ConfigPeer {
  send(message: Message): boolean;
}

/**
 * Announces this entry's version to its subscribers, reports it to its
 * publishers and responds to the versions that peers send.
 */
export class ConfigExchange {
  /** Peers that receive the configuration from here, with their last report. */
  private readonly subscribers = new Map<ConfigPeer, ConfigReportMessage>();
  /** Peers from which this entry receives the configuration. */
  private readonly publishers = new Set<ConfigPeer>();
  private timer: TimerHandle | undefined;

  constructor(
    private readonly options: {
      board: EntryBoard;
      clock: Clock;
      router: MessageRouter;
      activator: ConfigActivator;
      vm: string;
      dataCentre: string;
      supervisor: Supervisor;
    },
  ) {
    const {router, board, supervisor} = options;
    const task = {name: TaskName.CONFIG};
    router.on(MessageType.CONFIG, (m, peer) => this.handleConfig(m, peer));
    router.on(MessageType.CONFIG_REPORT, (m, peer) =>
      this.handleReport(m, peer),
    );
    router.onClose((peer) => void this.subscribers.delete(peer));
    board.config.subscribe(supervisor.guard(task, () => this.propagate()));
  }

  open(): void {
    const {clock, supervisor} = this.options;
    this.timer = clock.repeat({
      periodMs: CONFIG_ANNOUNCE_PERIOD_MS,
      run: supervisor.guard({name: TaskName.CONFIG}, () => this.announce()),
    });
  }

  close(): void {
    this.timer?.cancel();
  }

  /** Starts to receive the configuration from a peer. */
  subscribeTo(peer: ConfigPeer): void {
    this.publishers.add(peer);
    peer.send(this.createReport());
  }

  unsubscribeFrom(peer: ConfigPeer): void {
    this.publishers.delete(peer);
  }

  /** Handles a peer's version; sends back this entry's if that is newer. */
  handleConfig(message: ConfigMessage, peer: ConfigPeer): void {
    const {activator} = this.options;
    const {version, value, ageMs} = message;
    const step = activator.holder.resolveStep({version, value});
    activator.receiveFromPeer({version, value}, ageMs);
    if (step === ExchangeStep.SEND) peer.send(this.createConfig());
    if (step === ExchangeStep.ASK) peer.send(this.createReport());
  }

  /** Returns the versions that the subscribers last reported. */
  subscriberStatuses(): PeerStatus[] {
    return [...this.subscribers.values()].map((report) => ({
      vm: report.vm,
      dataCentre: report.dataCentre,
      state: 'subscriber',
      configVersion: report.version,
    }));
  }

  private handleReport(report: ConfigReportMessage, peer: ConfigPeer): void {
    this.subscribers.set(peer, report);
    const {version: heldVersion} = this.options.activator.holder;
    if (report.version < heldVersion) peer.send(this.createConfig());
    else peer.send(this.createAnnouncement());
  }

  /** Sends a new version to subscribers and reports it to publishers. */
  private propagate(): void {
    const config = this.createConfig();
    for (const [peer, {version}] of this.subscribers) {
      if (version < config.version) peer.send(config);
    }
    const report = this.createReport();
    for (const peer of this.publishers) peer.send(report);
  }

  private announce(): void {
    const announcement = this.createAnnouncement();
    for (const peer of this.subscribers.keys()) peer.send(announcement);
  }

  private createConfig(): ConfigMessage {
    const {version, value} = this.options.activator.holder.latest;
    const ageMs = this.options.activator.ageMs();
    return {type: MessageType.CONFIG, version, value, ageMs};
  }

  /** Creates a message with the version but without the value. */
  private createAnnouncement(): ConfigMessage {
    return {...this.createConfig(), value: null};
  }

  private createReport(): ConfigReportMessage {
    const {vm, dataCentre, activator} = this.options;
    const type = MessageType.CONFIG_REPORT;
    return {type, vm, dataCentre, version: activator.holder.version};
  }
}

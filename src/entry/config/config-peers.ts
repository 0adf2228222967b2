/** Links to the entries from which this one receives the configuration. */
import type {Clock, RandomSource} from '../../core/clock/index.js';
import type {VmRecord} from '../../core/edges/index.js';
import type {HelloMessage, Message} from '../../core/protocol/index.js';
import {MessageType, PeerClient} from '../../core/protocol/index.js';
import type {Supervisor} from '../../core/supervision/index.js';
import type {ConfigExchange} from './config-exchange.js';
import {PEER_SILENCE_TIMEOUT_MS} from '../consts.js';

interface PeerLink {
  readonly record: VmRecord;
  readonly client: PeerClient;
  /** Time of its last message, or of the creation of the link. */
  lastReceivedAtMs: number;
}

/** Keeps links to a set of peers and detects which of them are silent. */
export class ConfigPeers {
  private readonly links = new Map<string, PeerLink>();
  /** When a peer was last found silent, by VM name. */
  private readonly silentAtMs = new Map<string, number>();

  constructor(
    private readonly options: {
      hello: HelloMessage;
      clock: Clock;
      random: RandomSource;
      exchange: ConfigExchange;
      supervisor: Supervisor;
    },
  ) {}

  close(): void {
    for (const {client} of this.links.values()) client.stop();
  }

  /** Returns the VMs of peers that were found silent in the last `withinMs`. */
  findSilent(withinMs: number): ReadonlySet<string> {
    const nowMs = this.options.clock.now();
    for (const [vm, {lastReceivedAtMs}] of this.links) {
      if (nowMs - lastReceivedAtMs > PEER_SILENCE_TIMEOUT_MS)
        this.silentAtMs.set(vm, nowMs);
    }
    for (const [vm, atMs] of this.silentAtMs) {
      if (nowMs - atMs > withinMs) this.silentAtMs.delete(vm);
    }
    return new Set(this.silentAtMs.keys());
  }

  /** Restarts the silence timers after a pause of this process. */
  resetSilence(): void {
    const nowMs = this.options.clock.now();
    for (const link of this.links.values()) link.lastReceivedAtMs = nowMs;
  }

  /** Keeps links to these peers and no others. */
  setPeers(records: readonly VmRecord[]): void {
    const wanted = new Map(records.map((record) => [record.name, record]));
    for (const [vm, link] of this.links) {
      const record = wanted.get(vm);
      if (record !== undefined && isSameAddress(record, link.record)) continue;
      link.client.stop();
      this.links.delete(vm);
    }
    for (const record of records) {
      if (!this.links.has(record.name)) this.add(record);
    }
  }

  private add(record: VmRecord): void {
    const {exchange, ...clientOptions} = this.options;
    const peer = {address: record.address, port: record.peerPort};
    const client: PeerClient = new PeerClient({
      ...clientOptions,
      peer,
      listener: {
        onReady: () => {
          link.lastReceivedAtMs = clientOptions.clock.now();
          exchange.subscribeTo(client);
        },
        onMessage: (message: Message) => {
          link.lastReceivedAtMs = clientOptions.clock.now();
          if (message.type !== MessageType.CONFIG) return;
          exchange.handleConfig(message, client);
        },
        onDrain: () => undefined,
        onClose: () => exchange.unsubscribeFrom(client),
      },
    });
    const link: PeerLink = {
      record,
      client,
      lastReceivedAtMs: clientOptions.clock.now(),
    };
    this.links.set(record.name, link);
    client.start();
  }
}

function isSameAddress(a: VmRecord, b: VmRecord): boolean {
  return a.address === b.address && a.peerPort === b.peerPort;
}

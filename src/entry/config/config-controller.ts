/** Connects the components that distribute and activate the configuration. */
import type {Clock, RandomSource} from '../../core/clock/index.js';
import type {
  ConfigMember,
  ConfigUpdate,
} from '../../core/config/distribution/index.js';
import type {ObjectStore, PeerStatus} from '../../core/edges/index.js';
import type {Logger} from '../../core/logs/index.js';
import type {Metrics} from '../../core/metrics/index.js';
import type {HelloMessage, MessageRouter} from '../../core/protocol/index.js';
import type {Supervisor} from '../../core/supervision/index.js';
import {ConfigElection} from './config-election.js';
import {ConfigExchange} from './config-exchange.js';
import {ConfigActivator} from './config-activator.js';
import {ConfigPeers} from './config-peers.js';
import {ConfigSource} from './config-source.js';
import type {EntryBoard} from '../entry-board.js';

/** Dependencies of the configuration components. */
export interface ConfigControllerOptions {
  readonly board: EntryBoard;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly store: ObjectStore;
  readonly router: MessageRouter;
  readonly hello: HelloMessage;
  readonly self: ConfigMember;
  readonly site: string;
  readonly supervisor: Supervisor;
}

/** Keeps the board's configuration at the highest accepted version. */
export class ConfigController {
  private readonly activator: ConfigActivator;
  private readonly source: ConfigSource;
  private readonly exchange: ConfigExchange;
  private readonly peers: ConfigPeers;
  private readonly election: ConfigElection;

  constructor(options: ConfigControllerOptions) {
    this.activator = new ConfigActivator(options);
    const {activator} = this;
    this.source = new ConfigSource({...options, activator});
    this.exchange = new ConfigExchange({
      ...options,
      ...options.self,
      activator,
    });
    this.peers = new ConfigPeers({...options, exchange: this.exchange});
    const {source, peers} = this;
    this.election = new ConfigElection({...options, activator, source, peers});
  }

  open(): void {
    this.activator.start();
    this.exchange.open();
    this.election.open();
  }

  close(): void {
    this.election.close();
    this.peers.close();
    this.exchange.close();
    this.source.stop();
    this.activator.stop();
  }

  /** Handles the version that an agent sent over its link. */
  receiveFromAgent(update: ConfigUpdate, ageMs: number): void {
    this.activator.receiveFromPeer(update, ageMs);
  }

  /** The highest version that this entry holds. */
  latest(): ConfigUpdate {
    return this.activator.holder.latest;
  }

  /** Time since the platform last confirmed it, in milliseconds. */
  ageMs(): number {
    return this.activator.ageMs();
  }

  /** The entries that receive the configuration from this one. */
  subscriberStatuses(): PeerStatus[] {
    return this.exchange.subscriberStatuses();
  }
}

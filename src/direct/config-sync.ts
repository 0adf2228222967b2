/** Follows the configuration and decides what confirms that it is current. */
import type {Cell} from '../core/blackboard/index.js';
import type {Clock, RandomSource} from '../core/clock/index.js';
import type {SourceItem, StateSource} from '../core/edges/state-source.js';
import type {StateWriter} from '../core/edges/state-writer.js';
import type {Logger} from '../core/logs/index.js';
import type {RoutingConfig} from '../core/routes/index.js';
import {RouteTable} from '../core/routes/index.js';
import type {Supervisor} from '../core/supervision/index.js';
import type {
  Confirmation,
  EpochRecord,
  Follower,
  KeyTrust,
  OutageGate,
  SnapshotInfo,
} from '../core/sync/index.js';
import {
  ConfirmationFilter,
  FollowerRole,
  wasRestored,
} from '../core/sync/index.js';
import {
  CONFIG_LONG_POLL_MS,
  CONFIG_LONG_POLL_SHARE,
  CONFIG_PAUSE_SHARE,
} from './consts.js';
import {EpochSync} from './epoch-sync.js';
import {createStoreFollower} from './store-follower.js';

/** Dependencies of the synchronization. */
export interface ConfigSyncOptions {
  readonly source: StateSource<RoutingConfig>;
  /** What the entries tell each other of the store's epoch. */
  readonly epochSource: StateSource<EpochRecord>;
  readonly epochWriter: StateWriter<EpochRecord>;
  /** Receives each newer configuration. */
  readonly routes: Cell<RouteTable | undefined>;
  readonly keyTrust: KeyTrust;
  readonly gate: OutageGate;
  /** Time within which a changed configuration must be applied, in ms. */
  readonly configApplyMs: number;
  /** Time within which a revoked key must be refused, in ms. */
  readonly keyRevocationMs?: number;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly supervisor: Supervisor;
}

/**
 * Applies each newer configuration, and confirms keys by the reads that show that
 * the active one is current.
 *
 * @example
 * const sync = new ConfigSync(options);
 * sync.start();
 */
export class ConfigSync {
  private readonly follower: Follower<RoutingConfig>;
  private readonly filter: ConfirmationFilter;
  private readonly epochs: EpochSync;
  /**
   * Whether nothing is active until a read confirms it. A process that starts on
   * a restored store has no configuration of before to go on with.
   */
  private mustHold = false;
  /** The newest configuration that is not active yet. */
  private held?: RoutingConfig;
  /** The last read that confirmed nothing yet. */
  private unconfirmed?: Confirmation;

  constructor(private readonly options: ConfigSyncOptions) {
    const {configApplyMs} = options;
    this.filter = new ConfirmationFilter(options);
    this.epochs = new EpochSync({
      ...options,
      filter: this.filter,
      knownVersion: () => this.knownVersion,
      onAsked: () => this.confirmAgain(),
    });
    this.follower = createStoreFollower({
      ...options,
      what: 'configuration',
      waitMs: longPollMsOf(options),
      pauseMs: configApplyMs * CONFIG_PAUSE_SHARE,
      role: FollowerRole.LEADER,
      onSnapshot: (items, about) => this.applySnapshot(items, about),
      onChanges: (changes) => this.apply(changes),
      onConfirmed: (confirmation) => this.confirm(confirmation),
    });
  }

  start(): void {
    this.follower.start();
  }

  stop(): void {
    this.follower.stop();
    this.epochs.stop();
  }

  /** Lists the configuration again soon. */
  refresh(): void {
    this.follower.refresh();
  }

  /** Newest version of the configuration, whether or not it is active. */
  private get knownVersion(): number {
    const active = this.options.routes.get();
    return this.held?.version ?? active?.version ?? Number.NEGATIVE_INFINITY;
  }

  private applySnapshot(
    items: ReadonlyArray<SourceItem<RoutingConfig>>,
    {isRestored, isFirst, epoch}: SnapshotInfo,
  ): void {
    const mayLackChanges = isRestored || (isFirst && wasRestored(epoch));
    this.mustHold ||= isFirst && mayLackChanges;
    if (mayLackChanges) this.filter.recordRestored();
    this.apply(items);
    if (mayLackChanges) this.epochs.begin(epoch);
  }

  private apply(items: ReadonlyArray<SourceItem<RoutingConfig>>): void {
    for (const {value} of items) {
      if (value === undefined) continue;
      this.filter.recordStored(value.version);
      this.take(value);
    }
  }

  /** Older configurations are ignored. */
  private take(config: RoutingConfig): void {
    if (config.version <= this.knownVersion) return;
    if (this.mustHold) this.held = config;
    else this.activate(config);
  }

  private activate(config: RoutingConfig): void {
    const {routes, logger} = this.options;
    logger.info('configuration applied', {
      version: config.version,
      routes: config.routes.length,
    });
    this.held = undefined;
    this.mustHold = false;
    routes.set(new RouteTable(config));
  }

  private confirm(confirmation: Confirmation): void {
    const {knownVersion} = this;
    this.unconfirmed = confirmation;
    if (!this.filter.accepts({confirmation, knownVersion})) return;
    this.unconfirmed = undefined;
    if (this.held !== undefined) this.activate(this.held);
    this.options.keyTrust.confirm(confirmation);
    this.epochs.recordConfirmed();
  }

  /** Once others were asked, the last read may do; else a new one is needed. */
  private confirmAgain(): void {
    if (this.unconfirmed !== undefined) this.confirm(this.unconfirmed);
    if (this.unconfirmed !== undefined) this.refresh();
  }
}

/** Two long polls in a row must fit into the bound on key revocation. */
function longPollMsOf({keyRevocationMs = Infinity}: ConfigSyncOptions): number {
  return Math.min(
    CONFIG_LONG_POLL_MS,
    Math.floor(keyRevocationMs * CONFIG_LONG_POLL_SHARE),
  );
}

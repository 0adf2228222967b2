/** Follows the configuration and decides what confirms that it is current. */
import type {Cell} from '../core/blackboard/index.js';
import type {Clock, RandomSource} from '../core/clock/index.js';
import type {SourceItem, StateSource} from '../core/edges/state-source.js';
import type {Logger} from '../core/logs/index.js';
import type {RoutingConfig} from '../core/routes/index.js';
import {RouteTable} from '../core/routes/index.js';
import type {Supervisor} from '../core/supervision/index.js';
import {TaskName} from '../core/supervision/index.js';
import type {
  Follower,
  KeyTrust,
  OutageGate,
  SnapshotInfo,
} from '../core/sync/index.js';
import {
  ConfirmationFilter,
  FollowerRole,
  RESTORE_SETTLE_MS,
} from '../core/sync/index.js';
import {
  CONFIG_LONG_POLL_MS,
  CONFIG_LONG_POLL_SHARE,
  CONFIG_PAUSE_SHARE,
} from './consts.js';
import {createStoreFollower} from './store-follower.js';

/** Dependencies of the synchronization. */
export interface ConfigSyncOptions {
  readonly source: StateSource<RoutingConfig>;
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

  constructor(private readonly options: ConfigSyncOptions) {
    const {configApplyMs, keyTrust, routes} = options;
    this.filter = new ConfirmationFilter(options);
    this.follower = createStoreFollower({
      ...options,
      what: 'configuration',
      waitMs: longPollMsOf(options),
      pauseMs: configApplyMs * CONFIG_PAUSE_SHARE,
      role: FollowerRole.LEADER,
      onSnapshot: (items, about) => this.applySnapshot(items, about),
      onChanges: (changes) => this.apply(changes),
      onConfirmed: (confirmation) => {
        const activeVersion = routes.get()?.version ?? 0;
        if (this.filter.accepts({confirmation, activeVersion}))
          keyTrust.confirm(confirmation);
      },
    });
  }

  start(): void {
    this.follower.start();
  }

  stop(): void {
    this.follower.stop();
  }

  /** Lists the configuration again soon. */
  refresh(): void {
    this.follower.refresh();
  }

  private applySnapshot(
    items: ReadonlyArray<SourceItem<RoutingConfig>>,
    {isRestored}: SnapshotInfo,
  ): void {
    if (isRestored) {
      this.filter.recordRestored();
      // The first list that confirms keys.
      const {clock, supervisor} = this.options;
      clock.schedule({
        delayMs: RESTORE_SETTLE_MS,
        run: supervisor.guard({name: TaskName.CONFIG}, () => this.refresh()),
      });
    }
    this.apply(items);
  }

  private apply(items: ReadonlyArray<SourceItem<RoutingConfig>>): void {
    for (const {value} of items) {
      if (value === undefined) continue;
      this.filter.recordStored(value.version);
      this.activate(value);
    }
  }

  /** Older configurations are ignored. */
  private activate(config: RoutingConfig): void {
    const {routes, logger} = this.options;
    const activeVersion = routes.get()?.version ?? Number.NEGATIVE_INFINITY;
    if (config.version <= activeVersion) return;
    logger.info('configuration applied', {
      version: config.version,
      routes: config.routes.length,
    });
    routes.set(new RouteTable(config));
  }
}

/** Two long polls in a row must fit into the bound on key revocation. */
function longPollMsOf({keyRevocationMs = Infinity}: ConfigSyncOptions): number {
  return Math.min(
    CONFIG_LONG_POLL_MS,
    Math.floor(keyRevocationMs * CONFIG_LONG_POLL_SHARE),
  );
}

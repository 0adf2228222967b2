/** Keeps the set of registered targets in sync with the store. */
import type {Clock, RandomSource} from '../core/clock/index.js';
import type {StateSource} from '../core/edges/state-source.js';
import type {Logger} from '../core/logs/index.js';
import type {Supervisor} from '../core/supervision/index.js';
import {TaskName} from '../core/supervision/index.js';
import type {Follower, OutageGate} from '../core/sync/index.js';
import type {TargetRecord, TargetSet} from '../core/targets/index.js';
import {
  MAX_STALE_LISTS,
  STALE_TARGETS_CHECK_MS,
  TARGETS_LONG_POLL_MS,
  TARGETS_PAUSE_SHARE,
} from './consts.js';
import {createStoreFollower} from './store-follower.js';

/** Dependencies of the sync. */
export interface TargetSyncOptions {
  readonly registrations: StateSource<TargetRecord>;
  readonly targets: TargetSet;
  /** Time within which a draining target must stop receiving new work. */
  readonly targetDrainMs: number;
  readonly gate: OutageGate;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly supervisor: Supervisor;
}

/**
 * Follows the registrations of targets.
 *
 * @example
 * const sync = new TargetSync(options);
 * sync.start();
 */
export class TargetSync {
  private readonly follower: Follower<TargetRecord>;
  private hasRead = false;
  private staleListsLeft = 0;

  constructor(private readonly options: TargetSyncOptions) {
    const {targets, registrations, targetDrainMs} = options;
    this.follower = createStoreFollower({
      ...options,
      what: 'targets',
      source: registrations,
      waitMs: TARGETS_LONG_POLL_MS,
      pauseMs: targetDrainMs * TARGETS_PAUSE_SHARE,
      onSnapshot: (items, about) => {
        targets.replaceAll(items, about);
        this.hasRead = true;
        if (about.isRestored) this.staleListsLeft = MAX_STALE_LISTS;
        if (targets.hasStale) this.listAgain();
      },
      onChanges: (changes) => targets.applyChanges(changes),
    });
  }

  /** Whether the registrations were read. */
  get hasLoaded(): boolean {
    return this.hasRead;
  }

  start(): void {
    this.follower.start();
  }

  stop(): void {
    this.follower.stop();
  }

  /** Targets that live have written their registrations again by then. */
  private listAgain(): void {
    const {clock, logger, supervisor} = this.options;
    if (this.staleListsLeft-- <= 0) return;
    logger.info('stale registrations will be listed again');
    clock.schedule({
      delayMs: STALE_TARGETS_CHECK_MS,
      run: supervisor.guard({name: TaskName.TARGETS}, () =>
        this.follower.refresh(),
      ),
    });
  }
}

/** Followers of the store that log its outages. */
import type {Clock, RandomSource} from '../core/clock/index.js';
import type {StateSource} from '../core/edges/state-source.js';
import type {Logger} from '../core/logs/index.js';
import type {Supervisor} from '../core/supervision/index.js';
import type {
  Confirmation,
  FollowerListener,
  FollowerRole,
  OutageGate,
} from '../core/sync/index.js';
import {Follower} from '../core/sync/index.js';
import {StoreOutageLog} from './store-outage-log.js';

/** What is followed, how, and who receives it. */
export interface StoreFollowerOptions<T> {
  /** What is read from the store, for the log. */
  readonly what: string;
  readonly source: StateSource<T>;
  readonly onSnapshot: FollowerListener<T>['onSnapshot'];
  readonly onChanges: FollowerListener<T>['onChanges'];
  readonly onConfirmed?: (confirmation: Confirmation) => void;
  /** Maximum wait for a change, in milliseconds. */
  readonly waitMs: number;
  /** Pause after each change, in milliseconds; none by default. */
  readonly pauseMs?: number;
  /** Shared with the other followers of the store. */
  readonly gate?: OutageGate;
  readonly role?: FollowerRole;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly supervisor: Supervisor;
}

/**
 * Creates a follower that logs when its reads begin to fail and when they
 * succeed again.
 *
 * @example
 * createStoreFollower({what: 'targets', source, waitMs: 2_400, ...rest}).start();
 */
export function createStoreFollower<T>(
  options: StoreFollowerOptions<T>,
): Follower<T> {
  const {what, clock, logger, onSnapshot, onChanges, onConfirmed} = options;
  const outageLog = new StoreOutageLog({what, clock, logger});
  return new Follower({
    ...options,
    listener: {
      onSnapshot: (items, about) => {
        if (about.isRestored)
          logger.warn('store was restored from a copy', {
            what,
            objects: items.length,
          });
        onSnapshot(items, about);
      },
      onChanges,
      onConfirmed: (confirmation) => {
        onConfirmed?.(confirmation);
        outageLog.recordSuccess();
      },
      onError: (err) => outageLog.recordFailure(err),
    },
  });
}

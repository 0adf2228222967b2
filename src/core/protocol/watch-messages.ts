/** Messages between entries of which one reads the store for the other. */
import type {GetType} from 'purify-ts';
import {
  array,
  boolean,
  Codec,
  enumeration,
  exactly,
  number,
  optional,
  string,
  unknown,
} from 'purify-ts';

import {MessageType} from './message-type.js';

/** Entry to entry: tell the changes of a kind of objects after a revision. */
export const WATCH = Codec.interface({
  type: exactly(MessageType.WATCH),
  watchId: number,
  kind: string,
  since: number,
  /** Epoch of the store in which `since` was read; absent if it has none. */
  epoch: optional(number),
  /** Maximum wait for a change, in milliseconds. */
  waitMs: number,
});

/** Whether an entry can answer a WATCH. */
export enum WatchOutcome {
  OK = 'ok',
  /** The entry does not read the kind from the store, or cannot. */
  NOT_READING = 'not_reading',
  /**
   * The entry no longer has the changes after the revision, or reads a store of
   * another epoch.
   */
  TOO_OLD = 'too_old',
  /** The entry has not reached the revision within the wait. */
  BEHIND = 'behind',
}

/** Response to WATCH. */
export const CHANGES = Codec.interface({
  type: exactly(MessageType.CHANGES),
  watchId: number,
  outcome: enumeration(WatchOutcome),
  /** In order; empty unless the outcome is OK. */
  changes: array(
    Codec.interface({name: string, value: unknown, isDeleted: boolean}),
  ),
  /** The revision after the changes. */
  revision: number,
  /**
   * Until when the changes are complete, in milliseconds after the WATCH was
   * received, or before it if negative; absent if that is not known.
   */
  currentOffsetMs: optional(number),
});

/** Entry to entry: sent at intervals to those that wait for changes. */
export const ALIVE = Codec.interface({type: exactly(MessageType.ALIVE)});

export type WatchMessage = GetType<typeof WATCH>;
export type ChangesMessage = GetType<typeof CHANGES>;
export type AliveMessage = GetType<typeof ALIVE>;

/** The platform's object store. */
import type {ResultAsync} from 'neverthrow';
import type {Maybe} from 'purify-ts';

import type {Layer, LayerError} from '../errors/types.js';

/** Kinds of objects that the system stores in the platform. */
export enum ObjectKind {
  CONFIG = 'config',
  CLAIM = 'claim',
  OUTCOME = 'outcome',
  LEASE = 'lease',
  QUARANTINE = 'quarantine',
  STATUS = 'status',
}

/** Why a call to the object store failed. */
export enum StoreErrorKind {
  /** A conditional update or delete found another version. */
  CONFLICT = 'conflict',
  /** A conditional create found an existing object. */
  EXISTS = 'exists',
  NOT_FOUND = 'not_found',
  /** Refused, or never sent: the call had no effect. */
  UNAVAILABLE = 'unavailable',
  /** The response was lost: the write may have taken effect. */
  UNKNOWN = 'unknown',
  /** The value is too large or malformed. */
  INVALID = 'invalid',
}

/** An error of the store layer. */
export type StoreError = LayerError<Layer.STORE, StoreErrorKind>;

/** Identifies one object. */
export interface ObjectKey {
  readonly kind: ObjectKind;
  readonly name: string;
}

/** An object in the store. */
export interface StoredObject extends ObjectKey {
  /** Increases with each write of any object in the store. */
  readonly version: number;
  /** JSON value of at most one megabyte. */
  readonly value: unknown;
}

/** A change reported by a watch. */
export interface WatchEvent extends ObjectKey {
  readonly version: number;
  /** Undefined when the object was deleted. */
  readonly value?: unknown;
}

/** An active watch. */
export interface WatchHandle {
  close(): void;
}

/** Client of the platform's object API. */
export interface ObjectStore {
  /** Creates an object; fails with EXISTS if it already exists. */
  create(
    options: ObjectKey & {value: unknown},
  ): ResultAsync<StoredObject, StoreError>;
  /**
   * Replaces an object if it still has `expectedVersion`; fails with CONFLICT
   * otherwise.
   */
  update(
    options: ObjectKey & {value: unknown; expectedVersion: number},
  ): ResultAsync<StoredObject, StoreError>;
  /**
   * Deletes an object if it still has `expectedVersion`; fails with CONFLICT
   * otherwise.
   */
  remove(
    options: ObjectKey & {expectedVersion: number},
  ): ResultAsync<void, StoreError>;
  /** Returns an object, or Nothing if it does not exist. */
  read(key: ObjectKey): ResultAsync<Maybe<StoredObject>, StoreError>;
  list(options: {
    kind: ObjectKind;
    /** Lists only objects whose name starts with this; by default, all. */
    prefix?: string;
  }): ResultAsync<StoredObject[], StoreError>;
  /**
   * Reports each change of a kind after version `since`, in order. Ends with
   * `onClosed`, after which the caller has to list and watch again.
   */
  watch(options: {
    kind: ObjectKind;
    since: number;
    onEvent: (event: WatchEvent) => void;
    /**
     * Called whenever the platform sends data, including when nothing changed.
     */
    onAlive?: () => void;
    onClosed: (err: StoreError) => void;
  }): WatchHandle;
}

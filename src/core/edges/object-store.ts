import type {ResultAsync} from 'neverthrow';
import type {Maybe} from 'purify-ts';

import type {Layer, LayerError} from '../errors/types.js';

/** Kinds of objects that the system keeps in the platform. */
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
  /** A conditional update or delete met another version. */
  CONFLICT = 'conflict',
  /** A conditional create met an existing object. */
  EXISTS = 'exists',
  NOT_FOUND = 'not_found',
  /** Refused, or never sent: it certainly had no effect. */
  UNAVAILABLE = 'unavailable',
  /** The answer was lost: the write may have taken effect. */
  UNKNOWN = 'unknown',
  /** The value is too large or malformed. */
  INVALID = 'invalid',
}

/** An error of the store layer. */
export type StoreError = LayerError<Layer.STORE, StoreErrorKind>;

/** Names one object. */
export interface ObjectKey {
  readonly kind: ObjectKind;
  readonly name: string;
}

/** An object as the store holds it. */
export interface StoredObject extends ObjectKey {
  /** Grows with each write of any object of the store. */
  readonly version: number;
  /** JSON value, up to a megabyte. */
  readonly value: unknown;
}

/** What a watch reports. */
export interface WatchEvent extends ObjectKey {
  readonly version: number;
  /** Undefined when the object was deleted. */
  readonly value?: unknown;
}

/** A running watch. */
export interface WatchHandle {
  close(): void;
}

/** The platform's object API. */
export interface ObjectStore {
  /** Creates an object; fails with EXISTS where there is one. */
  create(
    options: ObjectKey & {value: unknown},
  ): ResultAsync<StoredObject, StoreError>;
  /** Replaces an object if it still has `expectedVersion`. */
  update(
    options: ObjectKey & {value: unknown; expectedVersion: number},
  ): ResultAsync<StoredObject, StoreError>;
  /** Deletes an object if it still has `expectedVersion`. */
  remove(
    options: ObjectKey & {expectedVersion: number},
  ): ResultAsync<void, StoreError>;
  read(key: ObjectKey): ResultAsync<Maybe<StoredObject>, StoreError>;
  list(options: {
    kind: ObjectKind;
    prefix?: string;
  }): ResultAsync<StoredObject[], StoreError>;
  /**
   * Reports each change of a kind after version `since`, in order. Ends with
   * `onClosed`, after which the caller lists again and watches anew.
   */
  watch(options: {
    kind: ObjectKind;
    since: number;
    onEvent: (event: WatchEvent) => void;
    /** The platform was heard of, also where nothing changed. */
    onAlive?: () => void;
    onClosed: (err: StoreError) => void;
  }): WatchHandle;
}

/** One kind of objects in the platform, as a process follows it. */
import type {ResultAsync} from 'neverthrow';

/** Why a call for state failed. */
export enum SourceErrorKind {
  /** Changes since the revision are forgotten: list anew. */
  HISTORY_LOST = 'history_lost',
  /** The store refused the call or could not be reached. */
  UNAVAILABLE = 'unavailable',
  /** The answer makes no sense. */
  MALFORMED = 'malformed',
}

/** A failed call for state. */
export interface SourceError {
  readonly kind: SourceErrorKind;
  readonly detail: string;
}

/** One object; `value` is undefined where it could not be decoded. */
export interface SourceItem<T> {
  readonly name: string;
  readonly value?: T;
}

/** All objects of a kind, as of one revision. */
export interface Snapshot<T> {
  readonly items: ReadonlyArray<SourceItem<T>>;
  readonly revision: number;
}

/** A change of one object. */
export interface SourceChange<T> extends SourceItem<T> {
  readonly isDeleted: boolean;
}

/** Changes after a revision, in order. */
export interface ChangeSet<T> {
  readonly changes: ReadonlyArray<SourceChange<T>>;
  /** The revision from which to wait on. */
  readonly revision: number;
}

/** Reads and follows one kind of objects. */
export interface StateSource<T> {
  list(): ResultAsync<Snapshot<T>, SourceError>;
  /** Answers at the first change, or without any after `waitMs`. */
  waitForChanges(options: {
    since: number;
    waitMs: number;
  }): ResultAsync<ChangeSet<T>, SourceError>;
}

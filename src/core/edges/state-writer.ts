/** Writes of records that entries share through the platform's store. */
import type {ResultAsync} from 'neverthrow';

import type {SourceError} from './state-source.js';

/** Writes records of one kind; a `StateSource` reads them. */
export interface StateWriter<T> {
  /** Creates a record; an existing one is left unchanged. */
  createIfAbsent(name: string, value: T): ResultAsync<void, SourceError>;
  /** Creates a record or replaces the existing one. */
  upsert(name: string, value: T): ResultAsync<void, SourceError>;
  /** Deletes a record; succeeds if it does not exist. */
  remove(name: string): ResultAsync<void, SourceError>;
}

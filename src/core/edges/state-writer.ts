/** Notes that entries leave for each other in the platform. */
import type {ResultAsync} from 'neverthrow';

import type {SourceError} from './state-source.js';

/** Writes one kind of notes; they are read through a `StateSource`. */
export interface StateWriter<T> {
  /** Leaves a note; one that is there already stays as it is. */
  createIfAbsent(name: string, value: T): ResultAsync<void, SourceError>;
  /** Leaves a note, in place of one that is there already. */
  upsert(name: string, value: T): ResultAsync<void, SourceError>;
  /** Takes a note away; one that is gone already is fine. */
  remove(name: string): ResultAsync<void, SourceError>;
}

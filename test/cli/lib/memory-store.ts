import {errAsync, okAsync, type ResultAsync} from 'neverthrow';
import {type Maybe, Maybe as MaybeOf} from 'purify-ts';

import type {
  ObjectKey,
  ObjectStore,
  StoredObject,
  StoreError,
  WatchHandle,
} from '../../../src/core/edges/index.js';
import {StoreErrorKind} from '../../../src/core/edges/index.js';
import {Layer} from '../../../src/core/errors/index.js';

/** Faults that a write can have. */
export enum WriteFault {
  /** The write takes effect, and its response is lost. */
  RESPONSE_LOST = 'answer_lost',
  /** The write is lost before it takes effect. */
  WRITE_LOST = 'write_lost',
  /** The store refuses the write. */
  UNAVAILABLE = 'unavailable',
  /** Another operator's write takes effect just before this one. */
  PRECEDED_BY_OTHER = 'overtaken',
  /** The response is lost, and another operator's write replaces this one. */
  REPLACED_BY_OTHER = 'replaced',
}

/** An object store in memory, whose next writes can be made to fail. */
export class MemoryStore implements ObjectStore {
  /** Faults of the next writes, in their order. */
  readonly faults: WriteFault[] = [];
  /** Value that the other operator writes. */
  otherOperatorValue: unknown;
  isReadable = true;
  /** Number of conditional writes, also of those that failed. */
  writes = 0;
  private readonly objects = new Map<string, StoredObject>();
  private version = 0;

  create(
    options: ObjectKey & {value: unknown},
  ): ResultAsync<StoredObject, StoreError> {
    return this.write(options, 0, options.value);
  }

  update(
    options: ObjectKey & {value: unknown; expectedVersion: number},
  ): ResultAsync<StoredObject, StoreError> {
    return this.write(options, options.expectedVersion, options.value);
  }

  read(key: ObjectKey): ResultAsync<Maybe<StoredObject>, StoreError> {
    return this.isReadable
      ? okAsync(MaybeOf.fromNullable(this.objects.get(toObjectId(key))))
      : errAsync(createStoreError(StoreErrorKind.UNAVAILABLE));
  }

  remove(): ResultAsync<void, StoreError> {
    throw new Error('not used');
  }

  list(): ResultAsync<StoredObject[], StoreError> {
    throw new Error('not used');
  }

  watch(): WatchHandle {
    throw new Error('not used');
  }

  /** Writes unconditionally. */
  put(key: ObjectKey, value: unknown): StoredObject {
    this.version++;
    const {kind, name} = key;
    // Values are stored as JSON, without undefined fields.
    const storedValue: unknown = JSON.parse(JSON.stringify(value));
    const object = {kind, name, version: this.version, value: storedValue};
    this.objects.set(toObjectId(key), object);
    return object;
  }

  private write(
    key: ObjectKey,
    expectedVersion: number,
    value: unknown,
  ): ResultAsync<StoredObject, StoreError> {
    this.writes++;
    const fault = this.faults.shift();
    switch (fault) {
      case WriteFault.WRITE_LOST:
        return errAsync(createStoreError(StoreErrorKind.UNKNOWN));
      case WriteFault.UNAVAILABLE:
        return errAsync(createStoreError(StoreErrorKind.UNAVAILABLE));
      case WriteFault.PRECEDED_BY_OTHER:
        this.put(key, this.otherOperatorValue);
        break;
    }
    const current = this.objects.get(toObjectId(key))?.version ?? 0;
    if (current !== expectedVersion) {
      const isCreate = expectedVersion === 0;
      const {EXISTS, CONFLICT} = StoreErrorKind;
      return errAsync(createStoreError(isCreate ? EXISTS : CONFLICT));
    }
    const object = this.put(key, value);
    if (fault === WriteFault.REPLACED_BY_OTHER) {
      this.put(key, this.otherOperatorValue);
    }
    return fault === WriteFault.RESPONSE_LOST ||
      fault === WriteFault.REPLACED_BY_OTHER
      ? errAsync(createStoreError(StoreErrorKind.UNKNOWN))
      : okAsync(object);
  }
}

function toObjectId({kind, name}: ObjectKey): string {
  return `${kind}/${name}`;
}

function createStoreError(kind: StoreErrorKind): StoreError {
  return {layer: Layer.STORE, kind, detail: `store: ${kind}`};
}

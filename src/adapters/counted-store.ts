/** Counts the calls to an object store and the errors that they return. */
import type {ResultAsync} from 'neverthrow';

import type {
  ObjectKey,
  ObjectKind,
  ObjectStore,
  StoreError,
  WatchHandle,
} from '../core/edges/index.js';
import type {Metrics} from '../core/metrics/index.js';
import {CounterName} from '../core/metrics/index.js';

/**
 * Kinds of calls to the store, as the platform also counts them; label values of
 * the counter of calls.
 */
export enum StoreVerb {
  CREATE = 'create',
  UPDATE = 'update',
  REMOVE = 'remove',
  READ = 'read',
  LIST = 'list',
  WATCH = 'watch',
}

/**
 * Wraps an object store and counts its calls and their errors.
 *
 * @example
 * new CountedStore({store: new HttpObjectStore({baseUrl}), metrics});
 */
export class CountedStore implements ObjectStore {
  private readonly store: ObjectStore;
  private readonly metrics: Metrics;

  constructor(options: {store: ObjectStore; metrics: Metrics}) {
    this.store = options.store;
    this.metrics = options.metrics;
  }

  create(options: ObjectKey & {value: unknown}) {
    return this.countCall(StoreVerb.CREATE, this.store.create(options));
  }

  update(options: ObjectKey & {value: unknown; expectedVersion: number}) {
    return this.countCall(StoreVerb.UPDATE, this.store.update(options));
  }

  remove(options: ObjectKey & {expectedVersion: number}) {
    return this.countCall(StoreVerb.REMOVE, this.store.remove(options));
  }

  read(key: ObjectKey) {
    return this.countCall(StoreVerb.READ, this.store.read(key));
  }

  list(options: {kind: ObjectKind; prefix?: string}) {
    return this.countCall(StoreVerb.LIST, this.store.list(options));
  }

  watch(options: Parameters<ObjectStore['watch']>[0]): WatchHandle {
    this.metrics.count(CounterName.STORE_CALLS, {label: StoreVerb.WATCH});
    const onClosed = (err: StoreError): void => {
      this.countError(err);
      options.onClosed(err);
    };
    return this.store.watch({...options, onClosed});
  }

  private countCall<T>(
    label: StoreVerb,
    call: ResultAsync<T, StoreError>,
  ): ResultAsync<T, StoreError> {
    this.metrics.count(CounterName.STORE_CALLS, {label});
    return call.mapErr((err) => {
      this.countError(err);
      return err;
    });
  }

  private countError({kind}: StoreError): void {
    this.metrics.count(CounterName.STORE_ERRORS, {label: kind});
  }
}

import {CountedStore} from '../adapters/counted-store.js';
import {HttpObjectStore} from '../adapters/index.js';
import type {ObjectStore} from '../core/edges/index.js';
import type {Metrics} from '../core/metrics/index.js';

/** Connects to the platform's object API, with counters in front of it. */
export function createStore(options: {
  baseUrl: string;
  metrics: Metrics;
}): ObjectStore {
  const {baseUrl, metrics} = options;
  return new CountedStore({store: new HttpObjectStore({baseUrl}), metrics});
}

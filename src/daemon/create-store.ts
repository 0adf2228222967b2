import {CountedStore} from '../adapters/counted-store.js';
import {HttpObjectStore} from '../adapters/index.js';
import type {ObjectStore} from '../core/edges/index.js';
import type {Metrics} from '../core/metrics/index.js';

/** Creates a client of the platform's object API that counts its calls. */
export function createStore(options: {
  baseUrl: string;
  metrics: Metrics;
}): ObjectStore {
  const {baseUrl, metrics} = options;
  return new CountedStore({store: new HttpObjectStore({baseUrl}), metrics});
}

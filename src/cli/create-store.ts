import type {ObjectStore} from '../core/edges/index.js';

/** Connects to the platform's object API. */
export async function createStore(options: {
  baseUrl: string;
}): Promise<ObjectStore> {
  const {HttpObjectStore} = await import('../adapters/http-object-store.js');
  return new HttpObjectStore(options);
}

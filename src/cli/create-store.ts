import type {ObjectStore} from '../core/edges/index.js';

/** Creates a client for the platform's object store. */
export async function createStore(options: {
  baseUrl: string;
}): Promise<ObjectStore> {
  const {HttpObjectStore} = await import('../adapters/http-object-store.js');
  return new HttpObjectStore(options);
}

import type {ObjectStore} from '../core/edges/index.js';

/**
 * Creates a client of the platform's object API; its module is loaded only for
 * the commands that need it.
 */
export async function createStore(options: {
  baseUrl: string;
}): Promise<ObjectStore> {
  const {HttpObjectStore} = await import('../adapters/http-object-store.js');
  return new HttpObjectStore(options);
}

/** Runs the platform's store as a program that its parent steers. */
import {announce} from '../lib/program.js';
import {followParent} from './steering.js';
import type {StoreMode} from './store.js';
import {StandInStore} from './store.js';

const store = new StandInStore();
await store.start();
followParent({
  put: (object: {kind: string; name: string; spec: unknown}) =>
    store.put(object),
  remove: (object: {kind: string; name: string}) => store.remove(object),
  setMode: (mode: StoreMode) => {
    store.mode = mode;
  },
  dropHistory: () => store.dropHistory(),
  cutWaiters: () => store.cutWaiters(),
});
announce({port: Number(new URL(store.url).port)});

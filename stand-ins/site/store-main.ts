/** Program that runs the platform's store under control of its parent. */
import {announceReady} from '../lib/program.js';
import {handleParentCommands} from './parent-commands.js';
import type {StoreMode} from './store.js';
import {StandInStore} from './store.js';

const store = new StandInStore();
await store.start();
handleParentCommands({
  put: (object: {kind: string; name: string; spec: unknown}) =>
    store.put(object),
  remove: (object: {kind: string; name: string}) => store.remove(object),
  setMode: (mode: StoreMode) => {
    store.mode = mode;
  },
  dropHistory: () => store.dropHistory(),
  cutWaiters: () => store.endLongPolls(),
});
announceReady({port: Number(new URL(store.url).port)});

/** Copies of the KV caches of generations, from which lost ones resume. */
export {mayHaveCopy} from './copy-progress.js';
export type {CopyProgress} from './types.js';
export {RereadCause} from './types.js';

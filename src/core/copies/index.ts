/** Copies of the KV caches of generations, from which lost ones resume. */
export {mayHaveCopy} from './copy-progress.js';
export {rereadCauseOf} from './reread-cause.js';
export {spreadHolders} from './spread-holders.js';
export type {CopyProgress, LostAttempt} from './types.js';
export {RereadCause} from './types.js';

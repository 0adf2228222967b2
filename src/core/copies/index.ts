/** Copies of the KV caches of generations, from which lost ones resume. */
export {mayHaveCopy} from './copy-progress.js';
export {decideCopyStep} from './copy-step.js';
export {outsideDataCentre} from './outside-data-centre.js';
export {rereadCauseOf} from './reread-cause.js';
export {spreadHolders} from './spread-holders.js';
export type {CopyProgress, CopyState, LostAttempt} from './types.js';
export {CopyStep, RereadCause} from './types.js';

/** Registered targets and what is known of their load. */
export type {ReportedLoad, TargetWork} from './target.js';
export {Target} from './target.js';
export {TargetSet} from './target-set.js';
export type {TargetRecord} from './types.js';

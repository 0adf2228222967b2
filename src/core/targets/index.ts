/** Registered targets and their estimated load. */
export {REPORT_LAG_MS} from './consts.js';
export {SAMPLE_SIZE, sampleTargets} from './sample-targets.js';
export type {ReportedLoad, TargetWork} from './target.js';
export {Target} from './target.js';
export {TargetSet} from './target-set.js';
export type {TargetRecord} from './types.js';
export {incarnationOf} from './types.js';

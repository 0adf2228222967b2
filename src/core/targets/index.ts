/** Registered targets and their estimated load. */
export {MAX_REPORT_AGE_MS, REPORT_LAG_MS} from './consts.js';
export {SAMPLE_SIZE, sampleTargets} from './sample-targets.js';
export {Target} from './target.js';
export type {TargetGate} from './target-set.js';
export {TargetSet} from './target-set.js';
export type {ReportedLoad, TargetRecord, TargetWork} from './types.js';
export {incarnationOf} from './types.js';
export {MAX_PROBED_ALONE, ScoutRounds} from './scout-rounds.js';

/** The choice of a target for a request. */
export {OWN_COUNTS_KEEP_MS, REPORT_ROUND_TRIP_MS} from './consts.js';
export {estimateLoad, utilisationOf} from './estimate-load.js';
export {FailureWatch} from './failure-watch.js';
export {LoadAwareChoice} from './load-aware-choice.js';
export {OwnCounts} from './own-counts.js';
export {TwoChoices} from './two-choices.js';
export type {ChoiceQuery, TargetChooser, TargetView} from './types.js';

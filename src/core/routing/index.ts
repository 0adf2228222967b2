/** Chooses the target of a request by load and failures. */
export {COUNT_RETENTION_MS, REPORT_ROUND_TRIP_MS} from './consts.js';
export {estimateLoad, utilisationOf} from './estimate-load.js';
export {OutlierDetector} from './outlier-detector.js';
export {LoadAwareChooser} from './load-aware-chooser.js';
export {CountHistory} from './count-history.js';
export {PowerOfTwoChooser} from './power-of-two-chooser.js';
export type {ChoiceQuery, TargetChooser, TargetView} from './types.js';

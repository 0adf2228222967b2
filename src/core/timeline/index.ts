/** Explaining one request from logs. */
export type {LogLine, RelatedLine} from './build-timeline.js';
export {parseLogLine, Relation, buildTimeline} from './build-timeline.js';

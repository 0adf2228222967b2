/** Reconstructs the timeline of one request from log lines. */
export type {LogLine, RelatedLine} from './build-timeline.js';
export {parseLogLine, Relation, buildTimeline} from './build-timeline.js';

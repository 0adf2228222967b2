/** Explaining one request from logs. */
export type {LogLine, StoryLine} from './tell-story.js';
export {parseLogLine, Relation, tellStory} from './tell-story.js';

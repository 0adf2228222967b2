/** Event streams that are carried from one target to the next by their ids. */
export {EventSequence, EventVerdict} from './event-sequence.js';
export type {RawEvent} from './event-splitter.js';
export {EventSplitter, toPosition} from './event-splitter.js';
export {stallLimitMs, suspectLimitMs} from './stall-limit.js';
export type {GenerationNeed, GenerationTimes} from './stream-time.js';
export {StreamTime} from './stream-time.js';

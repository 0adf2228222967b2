/** Event streams that are carried from one target to the next by their ids. */
export {EventSequence, SequenceCheck} from './event-sequence.js';
export type {RawEvent} from './event-splitter.js';
export {EventSplitter, toPosition} from './event-splitter.js';
export {stallTimeoutMs, probeDelayMs} from './stall-timeout.js';
export type {GenerationSize, GenerationSample} from './min-generation-time.js';
export {MinGenerationTime} from './min-generation-time.js';

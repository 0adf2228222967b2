/** Event streams that can be resumed at another target by event id. */
export {EventSequence, SequenceCheck} from './event-sequence.js';
export type {RawEvent} from './event-splitter.js';
export {EventSplitter, toPosition} from './event-splitter.js';
export {stallTimeoutMs, probeDelayMs} from './stall-timeout.js';
export type {GenerationSize, GenerationSample} from './min-generation-time.js';
export {MinGenerationTime} from './min-generation-time.js';

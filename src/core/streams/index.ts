/** Event streams that can be resumed at another target by event id. */
export {EventSequence, SequenceCheck} from './event-sequence.js';
export type {RawEvent} from './event-splitter.js';
export {EventSplitter, toPosition} from './event-splitter.js';
export {
  MIN_UNREAD_MS,
  PAUSE_AFTERMATH_MS,
  ReaderPause,
} from './reader-pause.js';
export {probeDelayMs, stallTimeoutMs} from './stall-timeout.js';
export type {GenerationNeed, GenerationSample} from './min-generation-time.js';
export {MinGenerationTime} from './min-generation-time.js';

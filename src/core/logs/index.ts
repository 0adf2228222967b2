/** Logs as JSON lines, written only when the state of a process changes. */
export {createLogger} from './create-logger.js';
export type {LogFields, Logger} from './types.js';
export {SILENT_LOGGER} from './silent-logger.js';
export {BoundedSink} from './bounded-sink.js';
export type {WriteBytes} from './bounded-sink.js';

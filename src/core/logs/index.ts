/** Logs in JSON lines, written only for changes of state. */
export {createLogger} from './create-logger.js';
export type {LogFields, Logger} from './types.js';
export {SILENT_LOGGER} from './silent-logger.js';
export {BoundedSink} from './bounded-sink.js';
export type {WriteBytes} from './bounded-sink.js';

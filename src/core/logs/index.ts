/** Logs in JSON lines, written only for changes of state. */
export {createLogger} from './create-logger.js';
export type {LogFields, Logger} from './types.js';
export {SILENT_LOGGER} from './silent-logger.js';

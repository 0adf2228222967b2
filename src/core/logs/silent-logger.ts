import type {Logger} from './types.js';

/** Discards every line; for tests and tools. */
export const SILENT_LOGGER: Logger = {
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

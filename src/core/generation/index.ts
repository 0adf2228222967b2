/** Positions, attempts and journals of long generations. */
export * from './event-id.js';
export * from './fingerprint.js';
export * from './token-log.js';
export * from './types.js';

/** Outputs, attempts and recovery of long generations. */
export * from './assembly.js';
export * from './event-id.js';
export * from './fingerprint.js';
export * from './validate-end.js';
export * from './detect-finish.js';
export * from './prompt-prefix.js';
export * from './recovery-policy.js';
export * from './silence-limit.js';
export * from './token-log.js';
export * from './types.js';

/** Requests that crash the engines that run them. */
export * from './culprits.js';
export * from './quarantine.js';
export {CrashRecord, POISON_CRASHES} from './crash-record.js';

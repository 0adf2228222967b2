/** Requests that end the targets that run them. */
export * from './culprits.js';
export * from './quarantine.js';
export {fellTogether} from './common-cause.js';
export {dropOldest} from './drop-oldest.js';
export {LossLedger, POISON_LOSSES} from './loss-ledger.js';
export type {LossNote, LossNotes} from './loss-notes.js';
export {LOSS_NOTES} from './loss-notes.js';

/** Decides which entries read the store and what they tell the others. */
export type {AgeLimits, RelayWaits} from './age-bound.js';
export {AgeBound, longestWaits} from './age-bound.js';
export {ChangeLog, LogAnswer} from './change-log.js';
export type {LoggedRead} from './change-log.js';
export {ReaderChoice} from './reader-choice.js';
export type {EntryRecord} from './entry-record.js';
export {ENTRY_RECORD} from './entry-record.js';
export {orderReaders} from './reader-order.js';

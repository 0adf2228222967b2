/** Detection and quarantine of requests that crash their targets. */
export * from './crash-causes.js';
export * from './quarantine.js';
export {isDataCentreOutage} from './data-centre-outage.js';
export {dropOldest} from './drop-oldest.js';
export {LossLedger, POISON_LOSSES} from './loss-ledger.js';
export type {RecordedLoss, RecordedLosses} from './recorded-losses.js';
export {RECORDED_LOSSES} from './recorded-losses.js';

/** Keeps a local copy of the platform's state and tracks its age. */
export type {ToldEpoch} from './confirmation-filter.js';
export {ConfirmationFilter} from './confirmation-filter.js';
export {confirmedUntilMs} from './confirmed-until.js';
export {RESTORE_SETTLE_MS} from './consts.js';
export type {EpochRecord} from './epoch-record.js';
export {mergeEpochRecord, wasRestored} from './epoch-record.js';
export type {FollowerListener, SnapshotInfo} from './follower.js';
export {Follower, FollowerRole} from './follower.js';
export type {Confirmation} from './key-trust.js';
export {KeyTrust} from './key-trust.js';
export {OutageGate} from './outage-gate.js';

/** Detection and quarantine of requests that crash their targets. */
export {MAX_PROMPTS, POISON_LOSSES, SUSPECT_LOSSES} from './consts.js';
export * from './crash-causes.js';
export * from './quarantine.js';
export {isDataCentreOutage} from './data-centre-outage.js';
export {dropOldest} from './drop-oldest.js';
export {showsHarmlessParts} from './harmless-output.js';
export {LossLedger} from './loss-ledger.js';
export {PromptIndex} from './prompt-index.js';
export type {RecordedLoss, RecordedLosses} from './recorded-losses.js';
export {RECORDED_LOSSES} from './recorded-losses.js';
export {ServedRequests} from './served-requests.js';
export type {PartSuspect, Suspects} from './suspects.js';
export {isPromptPart, MAX_NAMED_PARTS, toPartSuspects} from './suspects.js';

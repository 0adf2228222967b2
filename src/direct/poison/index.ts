/** Requests that end targets: their losses, shared, and their quarantine. */
export {LossTracker} from './loss-tracker.js';
export {PoisonDetector} from './poison-detector.js';
export {QuarantineSync} from './quarantine-sync.js';

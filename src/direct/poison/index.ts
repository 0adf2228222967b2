/** Detects poison requests, which crash their targets, and quarantines them. */
export {LossTracker} from './loss-tracker.js';
export {PoisonDetector} from './poison-detector.js';
export {QuarantineSync} from './quarantine-sync.js';

/** Claims, which ensure that a booking runs at most once. */
export * from './admit-key.js';
export * from './booking-state.js';
export * from './booking-step.js';
export * from './claim-log.js';
export * from './claim-name.js';
export * from './claim-store.js';
export * from './consts.js';
export * from './decide-verdict.js';
export * from './grouped-claims.js';
export * from './outcomes.js';
export * from './single-claims.js';
export * from './types.js';

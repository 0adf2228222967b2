/** Who takes part, who is suspected, and whom an entry watches. */
export * from './consts.js';
export * from './gap-threshold.js';
export * from './rendezvous.js';
export * from './select-subset.js';
export * from './types.js';

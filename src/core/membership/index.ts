/** Membership: suspicion of peers and the targets that an entry watches. */
export * from './consts.js';
export * from './silence-timeout.js';
export * from './rendezvous.js';
export * from './select-subset.js';
export * from './types.js';

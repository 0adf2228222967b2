/** Membership: when a peer is suspected, and which targets an entry watches. */
export * from './consts.js';
export * from './silence-timeout.js';
export * from './rendezvous.js';
export * from './select-subset.js';
export * from './types.js';

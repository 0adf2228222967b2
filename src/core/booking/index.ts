/** Claims, by which a booking runs at most once. */
export * from './claim-name.js';
export * from './types.js';

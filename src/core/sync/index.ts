/** Keeping a copy of the platform's state. */
export type {FollowerListener} from './follower.js';
export {Follower} from './follower.js';
export type {Confirmation} from './key-trust.js';
export {KeyTrust} from './key-trust.js';

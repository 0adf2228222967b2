/** Listening on an address that may still be in use for a moment. */
export {listenWhenFree} from '../core/protocol/index.js';

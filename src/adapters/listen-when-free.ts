/** Listening on an address that may still be in use for a moment. */
export {CannotListenError, listenWhenFree} from '../core/protocol/index.js';

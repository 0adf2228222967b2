/** Reading the store through other entries. */
export {ChangeRelay} from './change-relay.js';

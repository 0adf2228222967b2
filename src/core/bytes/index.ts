/** Bytes of messages. */
export {ByteBuffer} from './byte-buffer.js';

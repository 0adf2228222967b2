/** Bytes of messages, and the memory that they may take. */
export {ByteBuffer} from './byte-buffer.js';
export {MemoryBudget, MemoryShare} from './memory-budget.js';

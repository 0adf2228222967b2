/** Shared state of a process, which controllers read and write. */
export {Cell} from './cell.js';
export type {CellListener} from './cell.js';

/** State shared by the controllers and the request path of a process. */
export {Cell} from './cell.js';
export type {CellListener} from './cell.js';

/** Which plain calls are sent, wait or are refused when targets are full. */
export type {QueueEntry} from './call-queue.js';
export {CallQueue} from './call-queue.js';
export type {CallQuery} from './decide-call.js';
export {decideCall} from './decide-call.js';
export {estimateRoom} from './estimate-room.js';
export {ServiceTime} from './service-time.js';
export type {CallPreview, HeldCall, QueuedCall, Room} from './types.js';
export {CallDecision} from './types.js';

/** Room for generations at engines, and who waits for it. */
export {MAX_ENGINES_PER_LOOK} from './consts.js';
export {decideRoom} from './decide-room.js';
export type {EngineRoomQuery} from './engine-room.js';
export {hasRoomForCopy, leavesSpareRoom} from './engine-room.js';
export {compareRequests, latestStartMs} from './room-order.js';
export type {RankedRequest} from './room-order.js';
export type {QueueView} from './room-queue.js';
export {RoomQueue} from './room-queue.js';
export {RoomOutlook} from './room-outlook.js';
export type {RoomRequest} from './types.js';
export {RoomDecision} from './types.js';

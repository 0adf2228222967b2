/** Room for generations at engines, and who waits for it at this entry. */
export {GenerationRooms} from './generation-rooms.js';
export type {Applicant} from './service-room.js';
export {ServiceRoom} from './service-room.js';
export {toRoomRequest} from './room-request.js';
export {RoomReservation} from './room-reservation.js';
export {StreamRoom} from './stream-room.js';

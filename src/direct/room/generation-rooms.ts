/** The generations of all services that run or wait for room. */
import type {ServiceRoomOptions} from './service-room.js';
import {ServiceRoom} from './service-room.js';

/**
 * Keeps one `ServiceRoom` for each service, created when first used.
 *
 * @example
 * rooms.ofService('drafts').enter(applicant);
 */
export class GenerationRooms {
  private readonly rooms = new Map<string, ServiceRoom>();

  constructor(private readonly options: ServiceRoomOptions) {}

  /** The room of a service; undefined if it was not used yet. */
  find(service: string): ServiceRoom | undefined {
    return this.rooms.get(service);
  }

  ofService(service: string): ServiceRoom {
    let room = this.rooms.get(service);
    if (room === undefined) {
      room = new ServiceRoom(this.options);
      this.rooms.set(service, room);
    }
    return room;
  }
}

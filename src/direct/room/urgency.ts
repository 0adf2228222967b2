/** Compares a request with the others of its service. */
import type {DirectWork} from '../context.js';

/**
 * Whether other requests of the service may be more urgent, by their routes.
 *
 * @example
 * if (isLessUrgent(work)) keepRoomForOthers();
 */
export function isLessUrgent({admitted, service}: DirectWork): boolean {
  const {table, route, account} = admitted;
  const priority = account?.priority ?? route.priority;
  return priority > table.topPriorityOf(service.name);
}

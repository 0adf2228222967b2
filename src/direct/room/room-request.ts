/** Builds what the order of waiting generations depends on. */
import type {CallerRequest} from '../../core/edges/direct-caller.js';
import type {RoomRequest} from '../../core/room/index.js';
import type {Route, RoutedService} from '../../core/routes/index.js';
import type {MinGenerationTime} from '../../core/streams/index.js';
import {toGenerationNeed} from '../streams/min-generation-times.js';
import {SHARED_ENGINE_FACTOR} from './consts.js';

/**
 * Builds the request for room of a generation.
 *
 * @example
 * const request = toRoomRequest({req, route, service, priority, ...rest});
 */
export function toRoomRequest(options: {
  req: Pick<CallerRequest, 'generation' | 'lastEventId' | 'receivedMs'>;
  route: Route;
  service: RoutedService;
  priority: number;
  clientAccount: string;
  deadlineAtMs: number;
  /** Shortest times of the service; undefined if none were measured. */
  times?: MinGenerationTime;
}): RoomRequest {
  const {req, route, service, times, ...rest} = options;
  const need = toGenerationNeed(req, service);
  const firstEventMs =
    need === undefined ? 0 : (times?.firstEventMs(need) ?? 0);
  return {
    ...rest,
    receivedMs: req.receivedMs,
    objectiveAtMs: req.receivedMs + route.latencyObjectiveMs,
    firstEventMs: firstEventMs * SHARED_ENGINE_FACTOR,
    shortestMs: need === undefined ? 0 : (times?.leastMs(need) ?? 0),
  };
}

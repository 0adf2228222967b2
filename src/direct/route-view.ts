/** Shows the state of an entry to the description of a route. */
import {decideRoom} from '../core/room/index.js';
import type {
  EntryView,
  PlannedRequest,
  RoomPreview,
} from '../core/route-plan/index.js';
import type {RouteTable} from '../core/routes/index.js';
import {RETRY_AFTER_MS} from './consts.js';
import type {DirectContext} from './context.js';
import {toRoomRequest} from './room/index.js';
import {toGenerationNeed} from './streams/min-generation-times.js';

/**
 * Creates the view; nothing that it reads changes by it.
 *
 * @example
 * const plan = describeRoute(query, createRouteView({ctx, table, ...rest}));
 */
export function createRouteView(options: {
  ctx: DirectContext;
  table?: RouteTable;
  isTrusted: boolean;
  hasTargets: boolean;
}): EntryView {
  const {ctx, ...rest} = options;
  const {dataCentre} = ctx;
  return {
    ...rest,
    dataCentre,
    nowMs: ctx.clock.now(),
    retryAfterMs: RETRY_AFTER_MS,
    hasTimeFor: (operation, limitMs) =>
      ctx.grace.hasTimeFor(operation, limitMs),
    targetsOf: (service) => ctx.targets.peekService(service),
    previewCall: (service, call) => ctx.callQueues.preview(service, call),
    previewRoom: (request) => previewRoom(ctx, request),
    cannotFinish: (request) => cannotFinish(ctx, request),
  };
}

function previewRoom(ctx: DirectContext, planned: PlannedRequest): RoomPreview {
  const {query, account, nowMs, ...rest} = planned;
  const room = ctx.room.find(planned.service.name);
  const request = toRoomRequest({
    ...rest,
    req: {generation: query.generation, receivedMs: nowMs},
    clientAccount: account?.clientAccount ?? '',
    times: ctx.minGenerationTimes.find(planned.service.name),
  });
  const waitMs = room?.foreseenWaitMs(request) ?? 0;
  return {
    decision: decideRoom({request, waitMs, nowMs}),
    before: room?.countBefore(request) ?? 0,
    meanTokens: room?.meanTokens ?? 0,
  };
}

function cannotFinish(ctx: DirectContext, planned: PlannedRequest): boolean {
  const {query, service, deadlineAtMs, nowMs} = planned;
  const need = toGenerationNeed(query, service);
  const times = ctx.minGenerationTimes.find(service.name);
  if (need === undefined || times === undefined) return false;
  return times.cannotFinish({need, leftMs: deadlineAtMs - nowMs});
}

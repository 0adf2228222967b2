/** Where a request would go now, without sending it. */
export {describeRoute} from './describe-route.js';
export {parseRouteQuery, RouteParameter} from './parse-query.js';
export type {
  Candidate,
  EntryView,
  PlanDecision,
  PlannedRequest,
  RoomPreview,
  RoutePlan,
  RouteQuery,
  ServiceTargets,
} from './types.js';
export {CandidateState, PlanOutcome} from './types.js';

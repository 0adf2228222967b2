/** Describes where a request would go now, by the decisions of real requests. */
import {CallDecision} from '../call-queue/index.js';
import type {RefusalResponse} from '../edges/direct-caller.js';
import {RefusalReason} from '../errors/refusals.js';
import {
  leavesSpareRoom,
  MAX_ENGINES_PER_LOOK,
  RoomDecision,
} from '../room/index.js';
import type {Route} from '../routes/index.js';
import {admitRequest, OperationKind} from '../routes/index.js';
import type {Target} from '../targets/index.js';
import {describeCandidates} from './describe-candidates.js';
import type {RankedTargets} from './rank-targets.js';
import {rankForCall, rankForGeneration, tokensOf} from './rank-targets.js';
import type {
  EntryView,
  PlanDecision,
  PlannedRequest,
  RoutePlan,
  RouteQuery,
} from './types.js';
import {PlanOutcome} from './types.js';

const UNAVAILABLE = 503;

/** Says of a generation with room that the engine itself has the last word. */
const IF_RESERVED = 'if the engine reserves room';

/** Says of a generation that an engine's own queue decides. */
const LATE = 'without room, as its time is nearly over';

const IF_PERMITTED = 'if a permit of the target is left';

/**
 * Describes what an entry would do with a request now. Nothing is reserved,
 * probed, counted or changed. What only the body tells, such as a quarantine of
 * the request, is not known here.
 *
 * @example
 * const plan = describeRoute(query, view);
 * plan.decision.outcome; // PlanOutcome.SEND
 */
export function describeRoute(query: RouteQuery, view: EntryView): RoutePlan {
  const {table, isTrusted, nowMs} = view;
  const config = table?.version ?? 0;
  const {host, path, clientAccount} = query;
  const key =
    query.key ?? table?.findAccountNamed(clientAccount ?? '')?.keys[0];
  const admitted = admitRequest({table, isTrusted, host, path, key});
  if (admitted.isErr()) {
    const route = table?.findRoute({host, path});
    const about = {config, shares: [], candidates: [], route: route?.name};
    return {...about, decision: toRefusal(admitted.error)};
  }
  const {route, account} = admitted.value;
  const service = table?.findService(heaviestOf(route) ?? '');
  const limitMs = Math.min(query.deadlineMs ?? Infinity, route.timeoutMs);
  const priority = query.priority ?? account?.priority ?? route.priority;
  const about = {
    config,
    route: route.name,
    operation: route.operation,
    shares: route.shares,
    service: service?.name,
    clientAccount: account?.clientAccount,
    priority,
    limitMs,
  };
  if (service === undefined || !view.hasTargets) {
    const decision = refuse(RefusalReason.NO_TARGET, view.retryAfterMs);
    return {...about, decision, candidates: []};
  }
  const request: PlannedRequest = {
    query,
    route,
    service,
    account,
    priority,
    nowMs,
    objectiveAtMs: nowMs + route.latencyObjectiveMs,
    deadlineAtMs: nowMs + limitMs,
  };
  const targets = view.targetsOf(service.name);
  const usable = targets.admitted.filter((t) => t.backoffLeftMs() === 0);
  const isStream = route.operation === OperationKind.STREAM;
  const ranking = isStream
    ? rankForGeneration(usable, request)
    : rankForCall(usable, view.dataCentre);
  const isEngine = service.engine !== undefined;
  const input = {request, view, ranking, admitted: targets.admitted};
  const {decision, target} = place(input);
  return {
    ...about,
    decision,
    candidates: describeCandidates({
      targets,
      ranking,
      isEngine,
      chosen: target,
    }),
  };
}

interface PlaceInput {
  readonly request: PlannedRequest;
  readonly view: EntryView;
  readonly ranking: RankedTargets;
  /** Targets that may get work once they ask for it again. */
  readonly admitted: readonly Target[];
}

interface Placed {
  readonly decision: PlanDecision;
  /** Present if it would be sent. */
  readonly target?: Target;
}

function place(input: PlaceInput): Placed {
  const {request, view} = input;
  const {route, deadlineAtMs, nowMs} = request;
  if (!view.hasTimeFor(route.operation, deadlineAtMs - nowMs))
    return {decision: refuse(RefusalReason.LEAVING, view.retryAfterMs)};
  return route.operation === OperationKind.STREAM
    ? placeGeneration(input)
    : placeCall(input);
}

function placeCall(input: PlaceInput): Placed {
  const {request, view, ranking, admitted} = input;
  const {service, priority, objectiveAtMs, deadlineAtMs} = request;
  const call = {priority, objectiveAtMs, deadlineAtMs};
  const preview = view.previewCall(service.name, call);
  const {decision, before, waitMs, retryAfterMs} = preview;
  if (decision === CallDecision.REFUSE)
    return {decision: refuse(RefusalReason.OVERLOADED, retryAfterMs)};
  if (decision === CallDecision.WAIT)
    return wait(before, `for a slot, expected in ${Math.round(waitMs)} ms`);
  if (ranking.chosen !== undefined) return send(ranking.chosen);
  const reopensInMs = admitted.map((target) => target.backoffLeftMs());
  const leftMs = admitted.length > 0 ? Math.min(...reopensInMs) : 0;
  const afterMs = Math.ceil(Math.max(view.retryAfterMs, leftMs));
  return {decision: refuse(RefusalReason.NO_TARGET, afterMs)};
}

function placeGeneration(input: PlaceInput): Placed {
  const {request, view, ranking} = input;
  const {service, query} = request;
  const {chosen} = ranking;
  if (view.cannotFinish(request))
    return {decision: refuse(RefusalReason.DEADLINE_UNREACHABLE)};
  if (chosen === undefined) return wait(0, 'for a target that takes work');
  const reservesRoom =
    service.engine?.holdMs !== undefined && query.generation !== undefined;
  if (!reservesRoom) return send(chosen);
  const {before, decision, meanTokens} = view.previewRoom(request);
  const target = before === 0 ? findRoom(input, meanTokens) : undefined;
  if (target !== undefined) return send(target, IF_RESERVED);
  if (decision === RoomDecision.REFUSE)
    return {decision: refuse(RefusalReason.DEADLINE_UNREACHABLE)};
  if (decision === RoomDecision.SEND_ANYWAY) return send(chosen, LATE);
  return wait(before, 'for room at an engine');
}

/** A less urgent generation leaves room for a more urgent one. */
function findRoom(input: PlaceInput, meanTokens: number): Target | undefined {
  const {request, view, ranking} = input;
  const {service, priority} = request;
  const top = view.table?.topPriorityOf(service.name) ?? 0;
  if (priority <= top) return ranking.chosen;
  const kvCapacityTokens = service.engine?.kvCapacityTokens ?? Infinity;
  const tokens = tokensOf(request);
  return ranking.ranked
    .slice(0, MAX_ENGINES_PER_LOOK)
    .filter((target) => !target.isPaused())
    .find((target) =>
      leavesSpareRoom({target, tokens, meanTokens, kvCapacityTokens}),
    );
}

function send(target: Target, condition?: string): Placed {
  const isLimited = target.limitPerSecond !== undefined;
  const detail = isLimited ? IF_PERMITTED : condition;
  return {decision: {outcome: PlanOutcome.SEND, before: 0, detail}, target};
}

function wait(before: number, detail: string): Placed {
  return {decision: {outcome: PlanOutcome.WAIT, before, detail}};
}

function refuse(reason: RefusalReason, retryAfterMs?: number): PlanDecision {
  return toRefusal({status: UNAVAILABLE, reason, retryAfterMs});
}

function toRefusal(refusal: RefusalResponse): PlanDecision {
  return {outcome: PlanOutcome.REFUSE, before: 0, ...refusal};
}

function heaviestOf({shares}: Route): string | undefined {
  const [first, ...rest] = shares;
  if (first === undefined) return undefined;
  return rest.reduce((a, b) => (b.weight > a.weight ? b : a), first).service;
}

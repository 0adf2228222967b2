/** What an entry would do with a request now, and why. */
import type {CallPreview, QueuedCall} from '../call-queue/index.js';
import type {GenerationSize, PromptPart} from '../edges/direct-caller.js';
import type {RefusalReason} from '../errors/refusals.js';
import type {RoomDecision} from '../room/index.js';
import type {
  AccountKeys,
  OperationKind,
  Route,
  RoutedService,
  RouteShare,
  RouteTable,
} from '../routes/index.js';
import type {Target} from '../targets/index.js';

/** The request that is asked about. */
export interface RouteQuery {
  readonly host: string;
  /** Path and query. */
  readonly path: string;
  /** Name of a client account, in place of a key. */
  readonly clientAccount?: string;
  /** Key of a client account; it is not repeated in the plan. */
  readonly key?: string;
  /** Overrides the priority of the account and the route. */
  readonly priority?: number;
  /** Size of the generation; undefined if none is declared. */
  readonly generation?: GenerationSize;
  readonly promptParts: readonly PromptPart[];
  /** Time for which the caller waits, in milliseconds. */
  readonly deadlineMs?: number;
}

/** Registered targets of a service, and those that may get work now. */
export interface ServiceTargets {
  /** All of them, including draining ones. */
  readonly registered: readonly Target[];
  /** Those that neither drain nor are held by a roll-out. */
  readonly admitted: readonly Target[];
}

/** What the queue for room at engines would do with a generation now. */
export interface RoomPreview {
  /** What becomes of it if it finds no room. */
  readonly decision: RoomDecision;
  /** Waiting generations that get room before it. */
  readonly before: number;
  /** Mean size of the generations of the service, in tokens. */
  readonly meanTokens: number;
}

/** A request that a route and a service serve, with its times. */
export interface PlannedRequest {
  readonly query: RouteQuery;
  readonly route: Route;
  readonly service: RoutedService;
  readonly account?: AccountKeys;
  readonly priority: number;
  readonly nowMs: number;
  readonly objectiveAtMs: number;
  readonly deadlineAtMs: number;
}

/** The state of an entry, read without any change to it. */
export interface EntryView {
  /** Undefined until a configuration is loaded. */
  readonly table?: RouteTable;
  /** Whether the configuration is confirmed to be recent. */
  readonly isTrusted: boolean;
  /** Whether the registrations were read. */
  readonly hasTargets: boolean;
  readonly dataCentre: string;
  readonly nowMs: number;
  /** Shortest Retry-After of the entry, in milliseconds. */
  readonly retryAfterMs: number;
  /** Whether a planned stop leaves time for a request. */
  hasTimeFor(operation: OperationKind, limitMs: number): boolean;
  targetsOf(service: string): ServiceTargets;
  previewCall(service: string, call: QueuedCall): CallPreview;
  previewRoom(request: PlannedRequest): RoomPreview;
  /** Whether a generation can't end before its deadline. */
  cannotFinish(request: PlannedRequest): boolean;
}

/** Whether a target may be chosen, and if not, why. */
export enum CandidateState {
  USABLE = 'usable',
  /** It does not respond. */
  PAUSED = 'paused',
  /** It leaves and gets no new work. */
  DRAINING = 'draining',
  /** It has asked for no work for a time. */
  BACKING_OFF = 'backing off',
  /** A roll-out gives its version no work now. */
  HELD_BY_ROLLOUT = 'held by roll-out',
  /** It has just rejected a request. */
  FULL = 'full',
  /** It names a limit, so that a permit is needed. */
  LIMITED = 'limited',
}

/** One target with the figures that decide. */
export interface Candidate {
  readonly id: string;
  readonly state: CandidateState;
  readonly isChosen: boolean;
  readonly dataCentre: string;
  readonly version?: string;
  /** Requests there from all entries, as estimated. */
  readonly requests: number;
  readonly slots: number;
  /** Time that work takes there, relative to the usual. */
  readonly slowness: number;
  /** Age of the last load report; undefined if there was none. */
  readonly reportAgeMs?: number;
  readonly failureShare: number;
  /** Requests a second that it takes; undefined if it names no limit. */
  readonly limitPerSecond?: number;
  /** Tokens planned in the KV cache of an engine. */
  readonly plannedTokens?: number;
  /** Advantage of an engine for the prompt, in running requests. */
  readonly promptAdvantage?: number;
}

/** Whether the request would be sent. */
export enum PlanOutcome {
  SEND = 'send',
  WAIT = 'wait',
  REFUSE = 'refuse',
}

/** What the entry would do with the request, and why. */
export interface PlanDecision {
  readonly outcome: PlanOutcome;
  /** Waiting requests that go first. */
  readonly before: number;
  /** What it waits for, or a condition of the sending. */
  readonly detail?: string;
  /** Why it is refused. */
  readonly reason?: RefusalReason;
  readonly status?: number;
  readonly retryAfterMs?: number;
}

/** The whole description. */
export interface RoutePlan {
  /** Version of the configuration. */
  readonly config: number;
  readonly route?: string;
  readonly operation?: OperationKind;
  /** Services of the route; the heaviest is described. */
  readonly shares: readonly RouteShare[];
  readonly service?: string;
  readonly clientAccount?: string;
  readonly priority?: number;
  /** Time until the deadline, in milliseconds. */
  readonly limitMs?: number;
  readonly decision: PlanDecision;
  /** In the order of choice, the chosen one first. */
  readonly candidates: readonly Candidate[];
}

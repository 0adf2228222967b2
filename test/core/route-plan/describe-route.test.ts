/** What the plan of a request tells, without a network. */
import {beforeEach, describe, expect, it} from 'vitest';

import {CallDecision} from '../../../src/core/call-queue/index.js';
import {ManualClock} from '../../../src/core/clock/index.js';
import {RefusalReason} from '../../../src/core/errors/refusals.js';
import {RoomDecision} from '../../../src/core/room/index.js';
import type {
  EntryView,
  RoutePlan,
  RouteQuery,
} from '../../../src/core/route-plan/index.js';
import {
  CandidateState,
  describeRoute,
  parseRouteQuery,
  PlanOutcome,
} from '../../../src/core/route-plan/index.js';
import {OperationKind, RouteTable} from '../../../src/core/routes/index.js';
import {Target} from '../../../src/core/targets/index.js';

const HOST = 'shop.example';
const KEY = 'secret-key';
const SLOTS = 4;

const ROUTE = {
  host: HOST,
  timeoutMs: 3_000,
  latencyObjectiveMs: 300,
  priority: 2,
  maxAttempts: 2,
  isPublic: false,
  isResumable: false,
};

const ENGINE = {
  slots: SLOTS,
  kvCapacityTokens: 10_000,
  tokensPerEvent: 1,
  canCopy: false,
  copyLifetimeMs: 0,
  holdMs: 1_000,
};

const SERVICE = {healthPath: '/healthz', maxConnections: 4};

const TABLE = new RouteTable({
  version: 7,
  routes: [
    {
      ...ROUTE,
      name: 'stock',
      pathPrefix: '/stock/',
      operation: OperationKind.SAFE,
      shares: [
        {service: 'spare', weight: 1},
        {service: 'desk', weight: 9},
      ],
    },
    {
      ...ROUTE,
      name: 'drafts',
      pathPrefix: '/drafts/',
      operation: OperationKind.STREAM,
      shares: [{service: 'writers', weight: 1}],
    },
    {
      ...ROUTE,
      name: 'urgent',
      pathPrefix: '/urgent/',
      operation: OperationKind.STREAM,
      priority: 0,
      shares: [{service: 'writers', weight: 1}],
    },
  ],
  services: [
    {...SERVICE, name: 'desk'},
    {...SERVICE, name: 'spare'},
    {...SERVICE, name: 'writers', engine: ENGINE},
  ],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 100_000,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
  accounts: [
    {clientAccount: 'plain', keys: [KEY]},
    {clientAccount: 'first', keys: ['other-key'], priority: 1},
  ],
});

const QUERY: RouteQuery = {
  host: HOST,
  path: '/stock/1',
  clientAccount: 'plain',
  promptParts: [],
};

const GENERATION = {promptTokens: 1_000, maxOutputTokens: 1_000};

const STREAM = {path: '/drafts/1', generation: GENERATION};

describe('the plan of a request', () => {
  let clock: ManualClock;
  let targets: Target[];
  let held: Set<string>;

  beforeEach(() => {
    clock = new ManualClock();
    held = new Set();
    targets = ['a', 'b', 'c'].map((dataCentre, i) => {
      const at = {id: `i-${i}`, address: `127.0.0.1:${i}`, dataCentre};
      const record = {...at, service: 's', slots: SLOTS, isDraining: false};
      const target = new Target({clock, record: {...record, version: 'v1'}});
      target.recordLoad({running: i, waiting: 0, slots: SLOTS, slowness: 1});
      return target;
    });
  });

  const plan = (
    query: Partial<RouteQuery> = {},
    view: Partial<EntryView> = {},
  ): RoutePlan =>
    describeRoute(
      {...QUERY, ...query},
      {
        table: TABLE,
        isTrusted: true,
        hasTargets: true,
        dataCentre: 'a',
        nowMs: clock.now(),
        retryAfterMs: 150,
        hasTimeFor: () => true,
        targetsOf: () => ({
          registered: targets,
          admitted: targets.filter(
            ({id, record}) => !record.isDraining && !held.has(id),
          ),
        }),
        previewCall: () => ({
          decision: CallDecision.SEND,
          before: 0,
          waitMs: 0,
          retryAfterMs: 100,
        }),
        previewRoom: () => ({
          decision: RoomDecision.WAIT,
          before: 0,
          meanTokens: 1_000,
        }),
        cannotFinish: () => false,
        ...view,
      },
    );

  const states = ({candidates}: RoutePlan) =>
    candidates.map(({id, state}) => `${id} ${state}`);

  it('names route, service, account and the targets in order', () => {
    expect(plan()).toMatchObject({
      config: 7,
      route: 'stock',
      operation: OperationKind.SAFE,
      service: 'desk',
      clientAccount: 'plain',
      priority: 2,
      limitMs: 3_000,
      decision: {outcome: PlanOutcome.SEND, before: 0},
    });
    expect(plan().candidates).toMatchObject([
      {id: 'i-0', isChosen: true, requests: 0, reportAgeMs: 0, version: 'v1'},
      {id: 'i-1', isChosen: false, requests: 1},
      {id: 'i-2', isChosen: false, requests: 2},
    ]);
  });

  it.each<{query: Partial<RouteQuery>; view?: Partial<EntryView>; is: object}>([
    {
      query: {path: '/none/'},
      is: {status: 404, reason: RefusalReason.UNKNOWN_SERVICE},
    },
    {
      query: {clientAccount: 'nobody'},
      is: {status: 401, reason: RefusalReason.UNAUTHENTICATED},
    },
    {
      query: {},
      view: {isTrusted: false},
      is: {status: 503, reason: RefusalReason.STORE_UNAVAILABLE},
    },
    {
      query: {},
      view: {table: undefined},
      is: {status: 503, reason: RefusalReason.NOT_READY},
    },
    {
      query: {},
      view: {hasTargets: false},
      is: {reason: RefusalReason.NO_TARGET, retryAfterMs: 150},
    },
    {
      query: {},
      view: {hasTimeFor: () => false},
      is: {reason: RefusalReason.LEAVING},
    },
    {
      query: {},
      view: {targetsOf: () => ({registered: [], admitted: []})},
      is: {reason: RefusalReason.NO_TARGET},
    },
    {
      query: STREAM,
      view: {cannotFinish: () => true},
      is: {reason: RefusalReason.DEADLINE_UNREACHABLE},
    },
  ])('refuses as the entry would: $is', ({query, view, is}) => {
    const {decision, candidates} = plan(query, view);
    expect(decision).toMatchObject({outcome: PlanOutcome.REFUSE, ...is});
    expect(candidates.some(({isChosen}) => isChosen)).toBe(false);
  });

  it.each([
    {query: {}, priority: 2},
    {query: {clientAccount: 'first'}, priority: 1},
    {query: {clientAccount: 'first', priority: 5}, priority: 5},
  ])('takes the priority $priority', ({query, priority}) => {
    expect(plan(query).priority).toBe(priority);
  });

  it.each([
    {decision: CallDecision.WAIT, outcome: PlanOutcome.WAIT, before: 3},
    {decision: CallDecision.REFUSE, outcome: PlanOutcome.REFUSE, before: 0},
  ])('of a call follows its queue: $decision', (row) => {
    const preview = {before: 3, waitMs: 40, retryAfterMs: 700};
    const {decision, candidates} = plan(
      {},
      {previewCall: () => ({...preview, decision: row.decision})},
    );
    expect(decision).toMatchObject({
      outcome: row.outcome,
      before: row.before,
      ...(row.outcome === PlanOutcome.REFUSE ? {retryAfterMs: 700} : {}),
    });
    expect(candidates.some(({isChosen}) => isChosen)).toBe(false);
  });

  it.each([
    {name: 'paused', spoil: (t: Target) => t.pause()},
    {name: 'draining', spoil: (t: Target) => t.recordDraining()},
    {name: 'backing off', spoil: (t: Target) => t.recordBackoff(500)},
    {name: 'full', spoil: (t: Target) => t.recordRejected()},
    {name: 'held by roll-out', spoil: (t: Target) => void held.add(t.id)},
  ])('puts a target last that is $name', ({name, spoil}) => {
    spoil(targets[0]!);
    expect(states(plan())).toEqual(['i-1 usable', 'i-2 usable', `i-0 ${name}`]);
  });

  it('tells that a permit is needed', () => {
    targets[0]!.recordLimit(2.5);
    const {decision, candidates} = plan();
    expect(candidates[0]).toMatchObject({
      isChosen: true,
      state: CandidateState.LIMITED,
      limitPerSecond: 2.5,
    });
    expect(decision.detail).toContain('permit');
  });

  it('tells when targets that ask for a pause take work again', () => {
    for (const target of targets) target.recordBackoff(900);
    expect(plan().decision).toMatchObject({
      reason: RefusalReason.NO_TARGET,
      retryAfterMs: 900,
    });
  });

  it.each([
    {before: 0, decision: RoomDecision.WAIT, outcome: PlanOutcome.SEND},
    {before: 2, decision: RoomDecision.WAIT, outcome: PlanOutcome.WAIT},
    {before: 2, decision: RoomDecision.REFUSE, outcome: PlanOutcome.REFUSE},
    {before: 2, decision: RoomDecision.SEND_ANYWAY, outcome: PlanOutcome.SEND},
  ])('of a generation: $before before it, $decision: $outcome', (row) => {
    const {before, decision, outcome} = row;
    const previewRoom = () => ({before, decision, meanTokens: 1_000});
    expect(plan(STREAM, {previewRoom}).decision.outcome).toBe(outcome);
  });

  it('lets a less urgent generation wait where only an urgent one fits', () => {
    for (const target of targets) target.begin({tokens: 7_500});
    const urgent = {...STREAM, path: '/urgent/1'};
    expect(plan(STREAM).decision.outcome).toBe(PlanOutcome.WAIT);
    expect(plan(urgent).decision.outcome).toBe(PlanOutcome.SEND);
  });

  it('shows the advantage of engines for a prompt', () => {
    const promptParts = [{id: 'p1', tokens: 900}];
    const {candidates} = plan({...STREAM, promptParts});
    expect(candidates[0]!.promptAdvantage).toBeGreaterThan(0);
  });

  it('lets a generation wait for a target that responds', () => {
    for (const target of targets) target.pause();
    expect(plan(STREAM).decision.outcome).toBe(PlanOutcome.WAIT);
  });

  it('is the same each time and has no key', () => {
    const query = {clientAccount: undefined, key: KEY};
    expect(plan(query)).toEqual(plan(query));
    expect(plan(query).clientAccount).toBe('plain');
    expect(JSON.stringify(plan(query))).not.toContain(KEY);
  });
});

describe('the question for a plan', () => {
  const parse = (text: string, key?: string) =>
    parseRouteQuery({params: new URLSearchParams(text), key});

  it('is read', () => {
    const text =
      'host=a&path=/b?c&priority=1&prompt-tokens=5&output-tokens=6&deadline=70&part=x:1&part=y:2';
    expect(parse(text, 'k')._unsafeUnwrap()).toEqual({
      host: 'a',
      path: '/b?c',
      key: 'k',
      clientAccount: undefined,
      priority: 1,
      generation: {promptTokens: 5, maxOutputTokens: 6},
      promptParts: [
        {id: 'x', tokens: 1},
        {id: 'y', tokens: 2},
      ],
      deadlineMs: 70,
    });
  });

  it.each([
    '',
    'host=a',
    'host=a&path=b',
    'host=a&path=/b&what=1',
    'host=a&path=/b&priority=-1',
    'host=a&path=/b&prompt-tokens=5',
    'host=a&path=/b&part=x',
    'host=a&path=/b&part=x:1:2',
    `host=a&path=/b${'&part=x:1'.repeat(257)}`,
  ])('is not read: %s', (text) => {
    expect(parse(text).isErr()).toBe(true);
  });

  it('has either a key or an account', () => {
    expect(parse('host=a&path=/b&account=c', 'k').isErr()).toBe(true);
  });
});

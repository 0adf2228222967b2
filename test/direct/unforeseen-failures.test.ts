/** What an exception ends in a direct entry: one request, or one round. */
import {Agent} from 'node:http';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {StoreObjectKind} from '../../platform/names.js';
import {
  SitePath,
  SiteService,
  siteConfig,
} from '../../stand-ins/site/config.js';
import {TargetFault} from '../../stand-ins/site/target-fault.js';
import {DirectSite, waitFor} from '../support/direct-site.js';
import {escapedExceptions} from '../support/escaped-exceptions.js';
import type {Fault} from '../support/fault-injector.js';
import {
  FaultInjector,
  FaultManner,
  FaultPlace,
} from '../support/fault-injector.js';

const {SAFE, UNSAFE, STREAM} = SitePath;
const {THROWS, REJECTS} = FaultManner;

const PACE = {events: 30, firstMs: 30, gapMs: 15};

/** Duration of a plain call, in milliseconds. */
const WORK_MS = 150;

const DEADLINE_MS = 900;

/** Time within which a caller must get its response, in milliseconds. */
const ANSWER_MS = 2_500;

/** What a caller gets. */
enum Outcome {
  FAILED = '500 internal',
  /** The target may have run it. */
  UNKNOWN = '502 target_failed',
  SERVED = 'complete',
  /** The response breaks off. */
  CUT = 'cut',
  /** The connection is closed before a response. */
  CLOSED = 'closed',
  /** The caller left. */
  LEFT = 'left',
  NOTHING = 'nothing',
}

interface Row extends Fault {
  readonly path: SitePath;
  readonly outcome: Outcome;
  /** How the targets of the request fail. */
  readonly target?: TargetFault;
  /** Whether the fault is armed at the first data; otherwise before. */
  readonly isLate?: boolean;
  /** When the caller leaves, in milliseconds. */
  readonly leavesMs?: number;
  readonly key?: string;
}

const {FAILED, UNKNOWN, SERVED, CUT, CLOSED, LEFT} = Outcome;
const {RANDOM, MEMORY, SEND, HEAD, HEADER, DATA, CANCEL, QUERY_LOAD} =
  FaultPlace;
const {ERROR, HANG, CLOSE_CONNECTION} = TargetFault;

/** After an exception while the response of one attempt is handled. */
const AFTER_RESPONSE: Readonly<Record<string, Outcome>> = {
  [SAFE]: SERVED,
  [UNSAFE]: UNKNOWN,
  [STREAM]: FAILED,
};

const ROWS: Row[] = [
  ...[SAFE, UNSAFE, STREAM].flatMap((path) => [
    {path, place: MEMORY, outcome: CLOSED},
    {path, place: RANDOM, outcome: FAILED},
    {path, place: SEND, outcome: FAILED},
    {path, place: HEAD, outcome: AFTER_RESPONSE[path]!},
    {path, place: HEADER, outcome: FAILED},
    {path, place: DATA, outcome: AFTER_RESPONSE[path]!},
    {
      path,
      place: 'request refused at admission',
      key: 'unknown',
      outcome: FAILED,
    },
    {path, place: CANCEL, leavesMs: 80, outcome: LEFT},
    {path, place: CANCEL, leavesMs: 80, times: 2, outcome: LEFT},
  ]),
  {path: STREAM, place: DATA, isLate: true, outcome: CUT},
  {
    path: STREAM,
    place: 'stream attempt failed',
    target: ERROR,
    outcome: FAILED,
  },
  {path: STREAM, place: 'stream failed', target: HANG, outcome: FAILED},
  {path: STREAM, place: CANCEL, target: HANG, outcome: FAILED},
  {path: STREAM, place: CANCEL, target: HANG, times: 2, outcome: CLOSED},
  {path: STREAM, place: 'first_token_seconds', outcome: CLOSED},
  {
    path: SAFE,
    place: 'call attempt failed',
    target: CLOSE_CONNECTION,
    outcome: FAILED,
  },
  {path: SAFE, place: 'plain_call_seconds', outcome: FAILED},
  {path: SAFE, place: 'call_slow', target: HANG, outcome: FAILED},
  {path: SAFE, place: 'call_lost', target: CLOSE_CONNECTION, outcome: FAILED},
  {path: UNSAFE, place: 'call failed', target: HANG, outcome: FAILED},
  {path: UNSAFE, place: CANCEL, target: HANG, outcome: FAILED},
  {path: UNSAFE, place: CANCEL, target: HANG, times: 2, outcome: CLOSED},
];

const REASON = JSON.stringify({error: 'internal'});

const LOST = JSON.stringify({error: 'target_failed'});

describe('an exception in a request', () => {
  const escaped = escapedExceptions();
  let faults: FaultInjector;
  let site: DirectSite;

  beforeEach(async () => {
    faults = new FaultInjector();
    site = await DirectSite.start(faults.siteOptions());
    await site.addTargets(
      ['a', 'b'].flatMap((zone) => [
        {service: SiteService.DESK, zone, workMs: WORK_MS},
        {service: SiteService.WRITERS, zone, pace: PACE},
      ]),
    );
  });

  afterEach(() => site.stop());

  const send = async (row: Row): Promise<Outcome> => {
    const {path, key, leavesMs} = row;
    const leave = new AbortController();
    if (leavesMs !== undefined) setTimeout(() => leave.abort(), leavesMs);
    let isArmed = row.isLate !== true;
    if (isArmed) faults.arm({of: path, ...row});
    const call = site.call({
      path,
      key,
      body: 'order',
      agent: new Agent(),
      deadlineMs: DEADLINE_MS,
      signal: leave.signal,
      onData: () => {
        if (!isArmed) faults.arm({of: path, ...row});
        isArmed = true;
      },
    });
    const outcome = call.then(
      ({status, isComplete, text}) => {
        if (leave.signal.aborted) return LEFT;
        if (!isComplete) return CUT;
        if (status === 500) return text === REASON ? FAILED : Outcome.NOTHING;
        if (status === 502 && text === LOST) return UNKNOWN;
        return status === 200 ? SERVED : Outcome.NOTHING;
      },
      () => (leave.signal.aborted ? LEFT : CLOSED),
    );
    return Promise.race([outcome, nothingWithin(ANSWER_MS)]);
  };

  /** Work of all targets, open requests and memory that the entry counts. */
  const held = () => {
    const [entry] = site.entries;
    const targets = [...entry!.process['ctx'].targets.all()];
    return {
      work: targets.reduce((sum, target) => sum + target['work'].size, 0),
      calls: entry!.process['openRequests'].size,
      requests: entry!.server.openRequests,
      bytes: entry!.memory.usedBytes,
    };
  };

  const NONE = {work: 0, calls: 0, requests: 0, bytes: 0};

  it.each(ROWS)(
    'at $path, place $place (target $target, late $isLate, $times times): $outcome',
    async (row) => {
      const otherPath = row.path === STREAM ? UNSAFE : STREAM;
      const other = site.call({path: otherPath, agent: new Agent()});
      await waitFor(() => site.targets.some(({runs}) => runs.length > 0));
      const faulty = site.targets.filter(({runs}) => runs.length === 0);
      for (const target of faulty) target.fault = row.target ?? target.fault;
      expect(await send(row)).toBe(row.outcome);
      await waitUntilEqual(() => faults.thrown, row.times ?? 1);
      expect(await other).toMatchObject({status: 200, isComplete: true});
      for (const target of site.targets) target.fault = TargetFault.NONE;
      await waitUntilEqual(held, NONE);
      const next = await site.call({path: row.path, agent: new Agent()});
      expect(next).toMatchObject({status: 200, isComplete: true});
      expect(faults.failures[0]?.id).toBe(
        (row.place as FaultPlace) === MEMORY ? undefined : 'try-2',
      );
      expect(escaped()).toEqual([]);
    },
  );

  it.each([{manner: THROWS}, {manner: REJECTS}])(
    'while a target is probed, which $manner, is a failed probe',
    async ({manner}) => {
      const of = SiteService.WRITERS;
      for (const target of site.targets.slice(0, 2))
        target.fault = TargetFault.NONE;
      const place = QUERY_LOAD;
      const outcome = await send({
        path: STREAM,
        place,
        of,
        manner,
        outcome: SERVED,
      });
      expect(outcome).toBe(SERVED);
      expect(faults.thrown).toBe(1);
      await waitUntilEqual(held, NONE);
      expect(escaped()).toEqual([]);
    },
  );
});

const KINDS = ['config', 'targets', 'quarantine', 'losses', 'alerts'];

const LOOPS = [
  ...KINDS.flatMap((of) =>
    [THROWS, REJECTS].map((manner) => ({
      place: FaultPlace.LIST,
      of,
      manner,
    })),
  ),
  ...['config', 'targets', 'quarantine', 'alerts'].flatMap((of) =>
    [THROWS, REJECTS].map((manner) => ({
      place: FaultPlace.WAIT,
      of,
      manner,
    })),
  ),
  {place: 'configuration applied', of: undefined, manner: THROWS},
];

describe('an exception in a loop that follows the store', () => {
  const escaped = escapedExceptions();
  let site: DirectSite;

  afterEach(() => site.stop());

  it.each(LOOPS)(
    'at $place of $of, which $manner, starts it again',
    async (fault) => {
      const faults = new FaultInjector();
      faults.arm({...fault, times: 2});
      site = await DirectSite.start(faults.siteOptions());
      await waitFor(() => faults.thrown === 2);
      await site.addTarget({service: SiteService.DESK, zone: 'a'});
      const name = 'main';
      const spec = siteConfig({version: 2});
      site.store.put({kind: StoreObjectKind.CONFIG, name, spec});
      await waitFor(() => site.entry.routes.get()?.version === 2);
      expect((await site.call({path: UNSAFE})).status).toBe(200);
      expect(faults.failures).toHaveLength(2);
      expect(escaped()).toEqual([]);
    },
  );
});

async function nothingWithin(ms: number): Promise<Outcome> {
  await new Promise((resolve) => setTimeout(resolve, ms));
  return Outcome.NOTHING;
}

/** Waits up to a second, then compares. */
async function waitUntilEqual<T>(read: () => T, expected: T): Promise<void> {
  const text = JSON.stringify(expected);
  for (let i = 0; i < 100 && JSON.stringify(read()) !== text; i++)
    await new Promise((resolve) => setTimeout(resolve, 10));
  expect(read()).toEqual(expected);
}

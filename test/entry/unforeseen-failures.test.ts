/** An exception that nobody foresaw ends the request that it belongs to alone. */
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {CounterName, LatencyName} from '../../src/core/metrics/index.js';
import type {SiteResponse} from '../support/agent-site.js';
import {AgentSite} from '../support/agent-site.js';
import {collectEscapedFailures} from '../support/detached-failures.js';
import {waitFor} from '../support/direct-site.js';
import type {Trap} from '../support/traps.js';
import {TrapMode} from '../support/traps.js';

const KEY = 'key-1';
const TARGETS = 6;

/** Time until a generation has its ids, in milliseconds. */
const BEGIN_MS = 40;
const TOKENS = 10;
const REFUSED = {status: 502, ran: 'unknown'};

const BOOKINGS: readonly Trap[] = [
  // The log of claims is read before the first booking of an entry.
  {point: 'store.list', argument: {kind: 'claim'}},
  {point: 'store.create', argument: {kind: 'claim'}},
  {
    point: 'metrics.observe',
    argument: {name: LatencyName.BOOKING_CLAIM},
  },
  ...[0, 1, 2, 3].map((skip) => ({point: 'random.id', skip})),
  {point: 'orders.call'},
  {point: 'metrics.observe', argument: {name: LatencyName.PLAIN_CALL}},
];

const ALL_MODES = [TrapMode.THROW, TrapMode.REJECT, TrapMode.REJECT_AFTER];
const ASYNC_POINTS = ['store.list', 'store.create', 'orders.call'];

const BOOKING_ROWS = BOOKINGS.flatMap((trap) =>
  ASYNC_POINTS.includes(trap.point)
    ? ALL_MODES.map((mode) => ({...trap, mode}))
    : [{mode: TrapMode.THROW, skip: 0, ...trap}],
).map((trap) => ({skip: 0, ...trap}));

interface GenerationRow extends Trap {
  readonly what: string;
  /** Whether another attempt completes the output. */
  readonly isComplete: boolean;
  readonly stream?: boolean;
}

const GENERATIONS: readonly GenerationRow[] = [
  {what: 'id of the request', point: 'random.id', isComplete: false},
  {what: 'id of the attempt', point: 'random.id', skip: 1, isComplete: false},
  {
    what: 'tokens that arrive',
    point: 'metrics.count',
    argument: CounterName.TOKENS_RELAYED,
    isComplete: false,
  },
  {
    what: 'tokens that arrive, for a document',
    point: 'metrics.count',
    argument: CounterName.TOKENS_RELAYED,
    isComplete: false,
    stream: false,
  },
  {
    what: 'later tokens',
    point: 'metrics.count',
    argument: CounterName.TOKENS_RELAYED,
    skip: 2,
    isComplete: false,
  },
  {
    what: 'start of the attempt at the agent',
    point: 'agentMetrics.count',
    argument: CounterName.ATTEMPTS_STARTED,
    isComplete: true,
  },
  {
    what: 'start of the engine',
    point: 'engine.generate',
    isComplete: true,
  },
];

const escaped = collectEscapedFailures();

describe('an unforeseen exception', () => {
  let site: AgentSite;

  beforeEach(async () => {
    site = new AgentSite();
    await site.start();
    await waitFor(() => site.countUsable() === TARGETS);
    // The share of the targets' capacity is known after the first requests.
    await waitUntilServed(() => site.generate());
  });

  afterEach(() => site.stop());

  async function waitUntilServed(
    send: () => Promise<SiteResponse>,
  ): Promise<void> {
    for (let i = 0; i < 50; i++) {
      if ((await send()).status === 200) return;
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    throw new Error('the site does not serve');
  }

  /** Whether other requests are served, and none is left behind. */
  async function expectOthersServed(): Promise<void> {
    const others = await Promise.all([
      site.generate(),
      site.book(`other-${site.traps.sprung}`),
      site.callStock('other'),
    ]);
    expect(others.map(({status}) => status)).toEqual([200, 200, 200]);
    expect(others[0].text).toContain('[DONE]');
    await waitFor(() => site.countRunning() === 0);
  }

  function expectReported(): void {
    expect(escaped()).toEqual([]);
    expect(site.traps.sprung).toBe(1);
    expect(site.failures).toHaveLength(1);
  }

  it.each(BOOKING_ROWS)(
    'of a booking: $point $mode after $skip calls',
    async (trap) => {
      if (trap.point !== 'store.list')
        await waitUntilServed(() => site.book('first'));
      const other = site.generate({tokens: 100});
      await new Promise((resolve) => setTimeout(resolve, BEGIN_MS));
      site.traps.arm(trap);
      const first = await site.book(KEY);
      const isServed = first.status === 200;
      if (!isServed) expect(first).toMatchObject(REFUSED);
      const before = site.countExecutions(`/${KEY}`);
      expect(before).toBeLessThanOrEqual(1);
      if (isServed) expect(before).toBe(1);
      // A failure causes no second execution, even of a retry by the caller.
      await site.book(KEY);
      expect(site.countExecutions(`/${KEY}`)).toBeLessThanOrEqual(1);
      expect((await other).text).toContain('[DONE]');
      await expectOthersServed();
      expectReported();
    },
  );

  it.each(GENERATIONS)(
    'of a generation: $what',
    async ({isComplete, stream, ...trap}) => {
      const booking = site.book('during');
      await booking;
      site.traps.arm(trap);
      const {status, ran, text} = await site.generate({tokens: TOKENS, stream});
      if (isComplete) {
        expect(status).toBe(200);
        expect(text).toContain('[DONE]');
      } else {
        expect(ran).toBe('unknown');
        expect(text).not.toContain('[DONE]');
      }
      await expectOthersServed();
      expectReported();
    },
  );

  it('of a broken part of an output ends that attempt alone', async () => {
    for (const engine of site.engines) engine.isNextPartBroken = true;
    const outputs = await Promise.all([
      site.generate({tokens: TOKENS}),
      site.generate({tokens: TOKENS}),
    ]);
    for (const {text} of outputs) expect(text).toContain('[DONE]');
    await expectOthersServed();
    expect(escaped()).toEqual([]);
    expect(site.failures.length).toBeGreaterThan(0);
  });

  it.each([TrapMode.THROW, TrapMode.REJECT, TrapMode.REJECT_AFTER])(
    'of a plain call that %s',
    async (mode) => {
      await waitUntilServed(() => site.callStock('first'));
      site.traps.arm({point: 'stock.call', mode});
      const {status} = await site.callStock('one');
      expect(status).toBe(200);
      await expectOthersServed();
      expectReported();
    },
  );

  it.each(['handler.authenticate', 'handler.limits', 'handler.call'])(
    'of the edge: %s',
    async (point) => {
      await waitUntilServed(() => site.callStock('first'));
      site.traps.arm({point});
      expect(await site.callStock('one')).toMatchObject(REFUSED);
      await expectOthersServed();
      expectReported();
    },
  );
});

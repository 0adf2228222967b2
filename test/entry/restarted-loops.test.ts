/** A background loop goes on after an exception that nobody foresaw. */
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {CounterName} from '../../src/core/metrics/index.js';
import {AgentSite} from '../support/agent-site.js';
import {collectEscapedFailures} from '../support/detached-failures.js';
import {waitFor} from '../support/direct-site.js';
import type {Trap} from '../support/traps.js';
import {TrapMode} from '../support/traps.js';

const TARGETS = 6;

/** Outcomes that are recorded after a failure. */
const KEYS = ['a', 'b', 'c', 'd'];

const ASYNC_MODES = [TrapMode.THROW, TrapMode.REJECT];

/** Calls of loops that repeat them without a request. */
const PERIODIC: readonly Trap[] = [
  ...ASYNC_MODES.flatMap((mode) => [
    {point: 'vms.read', mode},
    {point: 'engine.probe', mode},
    {point: 'orders.probe', mode},
  ]),
  {point: 'metrics.count', argument: CounterName.HEARTBEATS},
].map((trap) => ({mode: TrapMode.THROW, ...trap}));

/** Calls that are made once at the start. */
const STARTS: readonly Trap[] = [
  ...ASYNC_MODES.flatMap((mode) => [
    {point: 'store.read', mode},
    {point: 'store.list', argument: {kind: 'quarantine'}, mode},
    {point: 'vms.read', mode},
    {point: 'engine.probe', mode},
  ]),
  {point: 'store.watch', argument: {kind: 'config'}},
  {point: 'store.watch', argument: {kind: 'quarantine'}},
  {point: 'logger.info', argument: 'target added: connecting to its agent'},
].map((trap) => ({mode: TrapMode.THROW, ...trap}));

/** Calls of a drain. */
const DRAINS: readonly Trap[] = [
  {point: 'responses.count', times: 3},
  {point: 'drained.handle'},
  {point: 'logger.info', argument: 'drained'},
];

const OUTCOMES: readonly Trap[] = [
  {point: 'agentStore.create', mode: TrapMode.THROW},
  {point: 'agentStore.create', mode: TrapMode.REJECT},
  {point: 'agentStore.create', mode: TrapMode.REJECT_AFTER},
  {
    point: 'agentMetrics.count',
    argument: CounterName.OUTCOMES_RECORDED,
    mode: TrapMode.THROW,
  },
];

/** Longest time of a drain without work, in milliseconds. */
const DRAIN_TIMEOUT_MS = 15_000;

const escaped = collectEscapedFailures();

describe('a loop in which', () => {
  let site: AgentSite;

  beforeEach(() => {
    site = new AgentSite();
  });

  afterEach(() => site.stop());

  async function startSite(): Promise<void> {
    await site.start();
    await waitFor(() => site.countUsable() === TARGETS);
  }

  async function waitUntilBooked(key: string): Promise<void> {
    for (let i = 0; i < 50; i++) {
      if ((await site.book(`${key}-${i}`)).status === 200) return;
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    throw new Error('the site does not serve');
  }

  async function expectServes(): Promise<void> {
    await waitUntilBooked('serves');
    const {text} = await site.generate();
    expect(text).toContain('[DONE]');
  }

  function expectReported(times = 1): void {
    expect(escaped()).toEqual([]);
    expect(site.traps.sprung).toBe(times);
    expect(site.failures).toHaveLength(times);
  }

  it.each(PERIODIC)('$point $mode goes on', async (trap) => {
    await startSite();
    site.traps.arm(trap);
    await waitFor(() => site.traps.sprung === 1);
    const before = site.traps.countCalls(trap.point);
    // Targets are probed by two agents each, and the list is read by one entry.
    const others = trap.point === 'vms.read' ? 0 : TARGETS;
    await waitFor(() => site.traps.countCalls(trap.point) > before + others);
    await expectServes();
    expectReported();
  });

  it.each(STARTS)('$point $mode at the start begins again', async (trap) => {
    site.traps.arm(trap);
    await startSite();
    const {point} = trap;
    await waitFor(() => site.traps.sprung === 1);
    if (point !== 'logger.info')
      await waitFor(() => site.traps.countCalls(point) > 1);
    await expectServes();
    expectReported();
  });

  it.each(DRAINS)('$point throws in a drain ends it', async (trap) => {
    await startSite();
    site.traps.arm(trap);
    site.drain();
    const deadline = Date.now() + DRAIN_TIMEOUT_MS;
    while (site.drained === 0 && Date.now() < deadline)
      await new Promise((resolve) => setTimeout(resolve, 20));
    expect(site.drained).toBe(1);
    expectReported(trap.times);
  });

  it.each(OUTCOMES)('$point $mode records all outcomes', async (trap) => {
    await startSite();
    await waitUntilBooked('before');
    await waitFor(() => site.store.countOutcomes() > 0);
    const before = site.store.countOutcomes();
    site.traps.arm(trap);
    for (const key of KEYS) {
      await waitUntilBooked(key);
      await new Promise((resolve) => setTimeout(resolve, 150));
    }
    await waitFor(() => site.store.countOutcomes() === before + KEYS.length);
    await waitFor(() => site.countRunning() === 0);
    expectReported();
  });

  it('a target has an odd port keeps the others', async () => {
    await site.start();
    const odd = {...site.vms[0]!, name: 'odd', peerPort: 70_000};
    site.vms.unshift(odd);
    await waitFor(() => site.countUsable() === TARGETS);
    await waitFor(() => site.failures.length > 0);
    await expectServes();
    expect(escaped()).toEqual([]);
  });
});

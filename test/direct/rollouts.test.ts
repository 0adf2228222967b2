/** Roll-outs at entries with a store and targets. */
import {afterEach, describe, expect, it} from 'vitest';

import {StoreMode} from '../../stand-ins/site/store.js';
import type {StandInTarget} from '../../stand-ins/site/target.js';
import {writerRank} from '../../src/core/rollouts/index.js';
import {
  keepBusy,
  KIND,
  pause,
  RolloutSite,
  SERVICE,
} from '../support/rollout-site.js';

const TEST_MS = 40_000;

describe('a roll-out', () => {
  let play: RolloutSite;

  afterEach(() => play.stop());

  const GOOD = [
    {name: 'nothing', disturb: () => Promise.resolve()},
    {
      name: 'the store away for 2 s',
      disturb: async () => {
        await pause(2_000);
        play.site.store.mode = StoreMode.BUSY;
        await pause(2_000);
        play.site.store.mode = StoreMode.UP;
      },
    },
    {
      name: 'the store away for 3 s before the last step',
      disturb: async () => {
        await pause(4_000);
        play.site.store.mode = StoreMode.BUSY;
        await pause(3_000);
        play.site.store.mode = StoreMode.UP;
      },
    },
    {
      name: 'entries that get busy once the old version has little traffic',
      disturb: async () => {
        await pause(6_300);
        await keepBusy({forMs: 2_000, busyMs: 30, pauseMs: 10});
      },
    },
    {
      name: 'the entry that writes the status killed late',
      disturb: async () => {
        await pause(5_500);
        const vms = ['entry-1', 'entry-2', 'entry-3'];
        const order = 'null/v2/10';
        const first = vms.findIndex(
          (vm) => writerRank({order, vm, live: vms}) === 0,
        );
        play.dead.add(first);
        play.site.entries[first]!.stop();
      },
    },
    {
      name: 'all entries killed and started again',
      disturb: async () => {
        await pause(3_000);
        for (const [i, entry] of play.site.entries.entries()) {
          play.dead.add(i);
          entry.stop();
        }
        for (let i = 0; i < 3; i++) {
          await play.site.startEntry(i);
          play.dead.delete(i);
        }
      },
    },
    {
      name: 'half of the new targets lost',
      disturb: async () => {
        await pause(2_000);
        for (const target of play.fresh.slice(0, 2)) target.crash();
      },
    },
  ];

  it.each(GOOD)(
    'of a good version is completed in time despite $name',
    async ({disturb}) => {
      play = await RolloutSite.start();
      play.order(10);
      await pause(300);
      await play.addNew();
      const disturbed = disturb();
      const tookMs = await play.waitForState('completed', 12_000);
      await disturbed;
      expect(tookMs).toBeLessThan(10_000);
      const completedMs = performance.now();
      await pause(500);
      expect(play.runsSince(play.old, completedMs + 100)).toBe(0);
      expect(play.runsSince(play.fresh, completedMs)).toBeGreaterThan(20);
    },
    TEST_MS,
  );

  const BAD = [
    {
      name: 'fails at once',
      spoil: (target: StandInTarget) => (target.failureShare = 0.4),
      later: () => undefined,
      withinMs: 8_000,
    },
    {
      name: 'is slow at once',
      spoil: (target: StandInTarget) => (target.extraWorkMs = 80),
      later: () => undefined,
      withinMs: 8_000,
    },
    {
      name: 'is slow at once, at busy entries,',
      spoil: (target: StandInTarget) => (target.extraWorkMs = 80),
      begin: () => keepBusy({forMs: 5_000, busyMs: 15, pauseMs: 10}),
      later: () => undefined,
      withinMs: 8_000,
    },
    {
      name: 'fails later',
      spoil: () => undefined,
      later: () => play.fresh.forEach((target) => (target.failureShare = 0.5)),
      withinMs: 9_000,
    },
  ];

  it.each(BAD)(
    'of a version that $name is turned back within the bounds',
    async ({spoil, begin, later, withinMs}) => {
      play = await RolloutSite.start();
      const busy = begin?.();
      play.order(12);
      await pause(300);
      const startedCalls = play.calls;
      await play.addNew(spoil);
      setTimeout(later, 3_500);
      const tookMs = await play.waitForState('rolled_back', 12_000);
      expect(tookMs).toBeLessThan(withinMs);
      const backMs = performance.now();
      await pause(1_500);
      const runs = play.runsSince(play.fresh, 0);
      const total = play.calls - startedCalls;
      expect(runs).toBeLessThanOrEqual(total * 0.1 + 50);
      expect(play.runsSince(play.fresh, backMs + 1_000)).toBe(0);
      await busy;
    },
    TEST_MS,
  );

  it(
    'holds back a version whose order has not been read',
    async () => {
      play = await RolloutSite.start();
      await play.addNew().catch(() => undefined);
      play.order(10);
      await pause(1_500);
      const runs = play.runsSince(play.site.targets.slice(4), 0);
      expect(runs).toBeLessThan(50);
    },
    TEST_MS,
  );

  it(
    'of a good version follows one of a bad version, which stays back',
    async () => {
      play = await RolloutSite.start();
      play.order(8);
      await pause(300);
      await play.addNew((target) => (target.failureShare = 0.6));
      await play.waitForState('rolled_back', 9_000);
      const bad = [...play.fresh];
      play.order(9, 'v3');
      const orderedMs = performance.now();
      await pause(300);
      await play.addNew(() => undefined, 'v3');
      const tookMs = await play.waitForState('completed', 11_000);
      expect(tookMs).toBeLessThan(9_000);
      expect(play.runsSince(bad, orderedMs + 500)).toBe(0);
    },
    TEST_MS,
  );

  it(
    'that is removed half-way gives the new version nothing more',
    async () => {
      play = await RolloutSite.start();
      play.order(10);
      await pause(300);
      await play.addNew();
      await pause(3_000);
      expect(play.runsSince(play.fresh, 0)).toBeGreaterThan(0);
      play.site.store.remove({kind: KIND, name: SERVICE});
      await pause(600);
      const removedMs = performance.now();
      await pause(1_500);
      expect(play.runsSince(play.fresh, removedMs)).toBe(0);
    },
    TEST_MS,
  );

  it(
    'to the version in use is completed at once and holds nothing back',
    async () => {
      play = await RolloutSite.start();
      await pause(500);
      const served = play.statuses.get(200) ?? 0;
      play.order(10, 'v1');
      const tookMs = await play.waitForState('completed', 12_000);
      expect(tookMs).toBeLessThan(2_000);
      await pause(1_000);
      expect(play.statuses.get(200)).toBeGreaterThan(served + 50);
      expect([...play.statuses.keys()]).toEqual([200]);
    },
    TEST_MS,
  );

  it(
    'that follows a bad one keeps it from an entry that starts later',
    async () => {
      play = await RolloutSite.start();
      play.order(8);
      await pause(300);
      await play.addNew((target) => (target.failureShare = 0.6));
      await play.waitForState('rolled_back', 9_000);
      const bad = [...play.fresh];
      play.order(20, 'v3');
      await pause(1_500);
      await play.site.startEntry(0);
      const startedMs = performance.now();
      await pause(3_000);
      expect(play.runsSince(bad, startedMs)).toBe(0);
    },
    TEST_MS,
  );

  it(
    'back to the version in use is completed at once',
    async () => {
      play = await RolloutSite.start();
      play.order(8);
      await pause(300);
      await play.addNew((target) => (target.failureShare = 0.6));
      await play.waitForState('rolled_back', 9_000);
      const bad = [...play.fresh];
      play.order(20, 'v1');
      const orderedMs = performance.now();
      await play.waitForState('completed', 3_000);
      await pause(1_000);
      expect(play.runsSince(play.old, orderedMs)).toBeGreaterThan(50);
      expect(play.runsSince(bad, orderedMs + 500)).toBe(0);
    },
    TEST_MS,
  );

  it(
    'whose bytes cannot be read later goes on',
    async () => {
      play = await RolloutSite.start();
      play.order(10);
      await pause(300);
      await play.addNew();
      play.site.store.put({kind: KIND, name: SERVICE, spec: {service: 7}});
      await pause(6_500);
      expect(play.runsSince(play.fresh, 0)).toBeGreaterThan(20);
    },
    TEST_MS,
  );
});

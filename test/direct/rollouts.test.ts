/** Roll-outs at entries with a store and targets. */
import {afterEach, describe, expect, it} from 'vitest';

import {StoreObjectKind} from '../../platform/names.js';
import {SitePath, SiteService} from '../../stand-ins/site/config.js';
import {StoreMode} from '../../stand-ins/site/store.js';
import type {StandInTarget} from '../../stand-ins/site/target.js';
import {writerRank} from '../../src/core/rollouts/index.js';
import {DirectSite} from '../support/direct-site.js';
import {Agent} from 'node:http';

const SERVICE = SiteService.DESK;
const BOUNDS = {exposureShare: 0.1, exposureSlack: 50, rollbackMs: 5_000};
const TEST_MS = 40_000;
const CALL_GAP_MS = 8;
const KIND = StoreObjectKind.ROLLOUTS;

/** A site under load, and its new targets. */
class RolloutSite {
  readonly fresh: StandInTarget[] = [];
  readonly old: StandInTarget[] = [];
  /** Calls answered, by status. */
  readonly statuses = new Map<number, number>();
  calls = 0;
  orderedMs = 0;
  private readonly agents = Array.from(
    {length: 3},
    () => new Agent({keepAlive: true, maxSockets: 30}),
  );
  private timer?: NodeJS.Timeout;
  /** Entries to which no calls go. */
  readonly dead = new Set<number>();

  private constructor(readonly site: DirectSite) {}

  static async start(): Promise<RolloutSite> {
    const site = await DirectSite.start({
      entries: 3,
      hasRelay: true,
      rollout: BOUNDS,
    });
    const play = new RolloutSite(site);
    play.old.push(...(await site.addTargets(play.targets('v1'))));
    play.timer = setInterval(() => play.call(), CALL_GAP_MS);
    return play;
  }

  private targets(version: string) {
    return Array.from({length: 4}, (_, i) => ({
      service: SERVICE,
      zone: i % 2 === 0 ? 'a' : 'b',
      workMs: 10,
      version,
    }));
  }

  private call(): void {
    const entry = this.calls++ % 3;
    if (this.dead.has(entry)) return;
    const path = this.calls % 2 === 0 ? SitePath.SAFE : SitePath.UNSAFE;
    void this.site
      .call({path, entry, agent: this.agents[entry]!})
      .then(({status}) => {
        this.statuses.set(status, (this.statuses.get(status) ?? 0) + 1);
      })
      .catch(() => undefined);
  }

  order(durationS: number, target = 'v2'): void {
    this.orderedMs = performance.now();
    this.site.store.put({
      kind: KIND,
      name: SERVICE,
      spec: {service: SERVICE, target, duration_s: durationS},
    });
  }

  async addNew(
    spoil: (target: StandInTarget) => void = () => undefined,
    version = 'v2',
  ) {
    const before = this.site.targets.length;
    const adding = this.site.addTargets(this.targets(version));
    this.site.targets.slice(before).forEach(spoil);
    const added = await adding;
    added.forEach(spoil);
    this.fresh.push(...added);
  }

  get state(): string | undefined {
    const status = this.site.store.statusOf(KIND, SERVICE) as
      {state: string} | undefined;
    return status?.state;
  }

  /** Waits for a state; returns how long it took since the order. */
  async waitForState(state: string, timeoutMs: number): Promise<number> {
    const endMs = performance.now() + timeoutMs;
    while (this.state !== state && performance.now() < endMs) await pause(20);
    expect(this.state).toBe(state);
    return performance.now() - this.orderedMs;
  }

  runsSince(targets: readonly StandInTarget[], atMs: number): number {
    return targets.reduce(
      (sum, {runs}) => sum + runs.filter((run) => run.atMs >= atMs).length,
      0,
    );
  }

  async stop(): Promise<void> {
    clearInterval(this.timer);
    for (const agent of this.agents) agent.destroy();
    await this.site.stop();
  }
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

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
      name: 'fails later',
      spoil: () => undefined,
      later: () => play.fresh.forEach((target) => (target.failureShare = 0.5)),
      withinMs: 9_000,
    },
  ];

  it.each(BAD)(
    'of a version that $name is turned back within the bounds',
    async ({spoil, later, withinMs}) => {
      play = await RolloutSite.start();
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

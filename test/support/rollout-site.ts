/** A site under load whose service moves to a new version. */
import {Agent} from 'node:http';

import {expect} from 'vitest';

import {StoreObjectKind} from '../../platform/names.js';
import {SitePath, SiteService} from '../../stand-ins/site/config.js';
import type {StandInTarget} from '../../stand-ins/site/target.js';
import {DirectSite} from './direct-site.js';

export const SERVICE = SiteService.DESK;
export const BOUNDS = {
  exposureShare: 0.1,
  exposureSlack: 50,
  rollbackMs: 5_000,
};
const CALL_GAP_MS = 8;
export const KIND = StoreObjectKind.ROLLOUTS;

/** A site under load, and its new targets. */
export class RolloutSite {
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

export function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Keeps this process, and so its entries, from reading most of the time. */
export async function keepBusy(options: {
  forMs: number;
  busyMs: number;
  pauseMs: number;
}): Promise<void> {
  const {forMs, busyMs, pauseMs} = options;
  const endMs = performance.now() + forMs;
  while (performance.now() < endMs) {
    const untilMs = performance.now() + busyMs;
    while (performance.now() < untilMs);
    await pause(pauseMs);
  }
}

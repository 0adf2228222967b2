/** Orders for the version in use while one for a new version is running. */
import {afterEach, describe, expect, it} from 'vitest';

import {KIND, pause, RolloutSite, SERVICE} from '../support/rollout-site.js';

const TEST_MS = 40_000;

describe('an order back to the version in use', () => {
  let play: RolloutSite;

  afterEach(() => play.stop());

  it.each([
    {name: 'in the canary', afterMs: 2_000},
    {name: 'with all of the traffic', afterMs: 6_800},
    {name: 'once the order is removed', afterMs: 5_000, isRemoved: true},
    {name: 'at an entry that was restarted', afterMs: 5_000, restarts: true},
  ])(
    'turns everything back at once $name',
    async ({afterMs, isRemoved = false, restarts = false}) => {
      play = await RolloutSite.start();
      play.order(10);
      await pause(300);
      await play.addNew();
      if (restarts) play.site.entries[0]!.stop();
      if (restarts) await play.site.startEntry(0);
      await pause(afterMs);
      expect(play.runsSince(play.fresh, 0)).toBeGreaterThan(0);
      if (isRemoved) play.site.store.remove({kind: KIND, name: SERVICE});
      if (isRemoved) await pause(500);
      play.order(20, 'v1');
      await pause(500);
      const backMs = performance.now();
      const tookMs = await play.waitForState('completed', 5_000);
      expect(tookMs).toBeLessThan(4_000);
      await pause(1_000);
      expect(play.runsSince(play.fresh, backMs)).toBe(0);
      expect(play.runsSince(play.old, backMs)).toBeGreaterThan(50);
    },
    TEST_MS,
  );
});

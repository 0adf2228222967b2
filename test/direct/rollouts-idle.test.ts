/** What roll-outs cost while none is ordered. */
import {afterEach, describe, expect, it} from 'vitest';

import {StoreObjectKind} from '../../platform/names.js';
import {SitePath, SiteService} from '../../stand-ins/site/config.js';
import {DirectSite} from '../support/direct-site.js';

const BOUNDS = {exposureShare: 0.1, exposureSlack: 50, rollbackMs: 5_000};
const CALLS = 30;
const QUIET_MS = 1_500;

describe('an entry without an order', () => {
  let site: DirectSite;

  afterEach(() => site.stop());

  const ROWS = [
    // A list, and the wait that follows it.
    {name: 'bounds on roll-outs', rollout: BOUNDS, orders: 2},
    {name: 'none', rollout: undefined, orders: 0},
  ];

  it.each(ROWS)(
    'makes $orders calls for orders with $name',
    async ({rollout, orders}) => {
      site = await DirectSite.start({rollout});
      const service = SiteService.DESK;
      await site.addTargets([
        {service, zone: 'a', version: 'v1'},
        {service, zone: 'b', version: 'v1'},
      ]);
      for (let i = 0; i < CALLS; i++) {
        const {status} = await site.call({path: SitePath.SAFE});
        expect(status).toBe(200);
      }
      await new Promise((resolve) => setTimeout(resolve, QUIET_MS));
      const {ROLLOUTS, ROLLOUT_EVIDENCE} = StoreObjectKind;
      expect(site.store.callCount(ROLLOUTS)).toBe(orders);
      expect(site.store.callCount(ROLLOUT_EVIDENCE)).toBe(0);
    },
  );
});

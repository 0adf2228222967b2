/** Addresses of targets that are gone, used again by another version. */
import {afterEach, describe, expect, it} from 'vitest';

import {StoreObjectKind} from '../../platform/names.js';
import {SitePath, SiteService} from '../../stand-ins/site/config.js';
import {StandInTarget} from '../../stand-ins/site/target.js';
import {DirectSite} from '../support/direct-site.js';

const SERVICE = SiteService.DESK;
const BOUNDS = {exposureShare: 0.1, exposureSlack: 50, rollbackMs: 5_000};
const KIND = StoreObjectKind.ROLLOUTS;
const CALLS = 60;

describe('a target of another version at a reused address', () => {
  let site: DirectSite;
  let reuser: StandInTarget | undefined;

  afterEach(async () => {
    reuser?.crash();
    reuser = undefined;
    await site.stop();
  });

  const ROWS = [
    {name: 'without an order', target: undefined},
    {name: 'while its own version is ordered', target: 'v2'},
    {name: 'while a third version is ordered', target: 'v3'},
  ];

  it.each(ROWS)('runs nothing meant for the former one $name', async (row) => {
    site = await DirectSite.start({rollout: BOUNDS});
    const targets = ['a', 'b', 'c'].map((zone) => ({
      service: SERVICE,
      zone,
      version: 'v1',
    }));
    const [gone, ...rest] = await site.addTargets(targets);
    if (row.target !== undefined) {
      const spec = {service: SERVICE, target: row.target, duration_s: 60};
      site.store.put({kind: KIND, name: SERVICE, spec});
    }
    await callAll(site);
    const port = Number(gone!.listenAddress.split(':').at(-1));
    gone!.crash();
    const {copyNetwork} = site;
    reuser = new StandInTarget({id: 'i-reuser', copyNetwork, version: 'v2'});
    await reuser.start(port);
    const statuses = await callAll(site);
    expect(reuser.runs).toEqual([]);
    expect(statuses).toEqual(new Set([200]));
    expect(rest.every(({runs}) => runs.length > 0)).toBe(true);
  });
});

/** Sends calls that may and that may not be repeated; returns the statuses. */
async function callAll(site: DirectSite): Promise<Set<number>> {
  const statuses = new Set<number>();
  for (let i = 0; i < CALLS; i++) {
    const path = i % 2 === 0 ? SitePath.SAFE : SitePath.UNSAFE;
    const {status} = await site.call({path});
    statuses.add(status);
  }
  return statuses;
}

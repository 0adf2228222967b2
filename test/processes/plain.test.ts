/** Idempotent calls while a target is frozen and while the store is down. */
import {afterAll, beforeAll, describe, expect, it} from 'vitest';

import {Site} from '../../tools/lab/site.js';
import {setStoreFault} from '../support/bookings.js';
import {send} from '../support/callers.js';

const DEADLINE_MS = 6_000;
/** As many as the floor of the retry budget lets be tried again. */
const LOOKUPS = 3;

let site: Site;

beforeAll(async () => {
  site = await Site.create({entries: 1, engines: 0, stock: 2});
});

afterAll(() => site?.close());

async function lookUp(item: string) {
  const startedMs = performance.now();
  const reply = await send({
    url: `${site.entries[0]!.callersUrl}/services/stock/stock/${item}`,
    method: 'GET',
    headers: {'x-deadline-ms': String(DEADLINE_MS)},
  });
  return {...reply, tookMs: performance.now() - startedMs};
}

describe('an idempotent call', () => {
  it('is answered within its deadline when its target freezes', async () => {
    const frozen = site.stock[0]!.standIn.proc;
    frozen.pause();
    const items = Array.from({length: LOOKUPS}, (_, i) => `pumice-${i}`);
    const replies = await Promise.all(items.map(lookUp));
    frozen.resume();
    expect(replies.map(({status}) => status)).toEqual(items.map(() => 200));
    replies.forEach(({text}, i) => expect(text).toContain(items[i]));
    replies.forEach(({tookMs}) => expect(tookMs).toBeLessThan(DEADLINE_MS));
  });

  it('goes on while the store is down', async () => {
    await setStoreFault(site, {mode: 'down'});
    const {status} = await lookUp('pumice-9');
    await setStoreFault(site, {mode: 'ok'});
    expect(status).toBe(200);
  });
});

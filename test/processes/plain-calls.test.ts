/** Idempotent calls while a target is paused and while the store is down. */
import {afterAll, beforeAll, describe, expect, it} from 'vitest';

import {Site} from '../../tools/lab/site.js';
import {setStoreFault} from '../support/bookings.js';
import {send} from '../support/callers.js';

const DEADLINE_MS = 6_000;
/** Number of retries that the floor of the retry budget allows. */
const LOOKUPS = 3;

let site: Site;

beforeAll(async () => {
  site = await Site.create({entries: 1, engines: 0, stock: 2});
});

afterAll(() => site?.close());

async function lookUp(item: string) {
  const startedMs = performance.now();
  const res = await send({
    url: `${site.entries[0]!.callersUrl}/services/stock/stock/${item}`,
    method: 'GET',
    headers: {'x-deadline-ms': String(DEADLINE_MS)},
  });
  return {...res, elapsedMs: performance.now() - startedMs};
}

describe('an idempotent call', () => {
  it('completes within its deadline when its target is paused', async () => {
    const paused = site.stock[0]!.standIn.proc;
    paused.pause();
    const items = Array.from({length: LOOKUPS}, (_, i) => `pumice-${i}`);
    const responses = await Promise.all(items.map(lookUp));
    paused.resume();
    expect(responses.map(({status}) => status)).toEqual(items.map(() => 200));
    responses.forEach(({text}, i) => expect(text).toContain(items[i]));
    responses.forEach(({elapsedMs}) =>
      expect(elapsedMs).toBeLessThan(DEADLINE_MS),
    );
  });

  it('succeeds while the store is down', async () => {
    await setStoreFault(site, {mode: 'down'});
    const {status} = await lookUp('pumice-9');
    await setStoreFault(site, {mode: 'ok'});
    expect(status).toBe(200);
  });
});

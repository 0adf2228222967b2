/** Baseline: ungrouped claims, made by this process. */
import {setTimeout as sleep} from 'node:timers/promises';

import {HttpObjectStore} from '../../../src/adapters/index.js';
import {ClaimState, SingleClaims} from '../../../src/core/booking/index.js';
import type {Site} from '../../../tools/lab/site.js';
import {Samples} from '../../lib/samples.js';
import {readPlatformCalls} from './platform-calls.js';

const MS_PER_SECOND = 1_000;

/** Cost of claims stored in one object each. */
export interface SingleClaimsResult {
  readonly samples: Samples;
  readonly writesPerClaim: number;
}

/** Creates `rate` claims per second, each in its own object. */
export async function runSingleClaims(options: {
  site: Site;
  rate: number;
  durationMs: number;
}): Promise<SingleClaimsResult> {
  const {site, rate, durationMs} = options;
  const store = new HttpObjectStore({baseUrl: site.platform.url});
  const claims = new SingleClaims({store});
  const name = `claim without groups, ${rate}/s`;
  const samples = new Samples({name, unit: 'ms'});
  const before = await readPlatformCalls(site);
  const count = Math.max(1, Math.round((rate * durationMs) / MS_PER_SECOND));
  const pending: Array<Promise<void>> = [];
  for (let i = 0; i < count; i++) {
    pending.push(createClaim(claims, samples, `single-${rate}-${i}`));
    await sleep(MS_PER_SECOND / rate);
  }
  await Promise.all(pending);
  const after = await readPlatformCalls(site);
  return {samples, writesPerClaim: (after.writes - before.writes) / count};
}

async function createClaim(
  claims: SingleClaims,
  samples: Samples,
  name: string,
): Promise<void> {
  const startedMs = performance.now();
  const claim = {
    nonce: name,
    state: ClaimState.HELD,
    fingerprint: name,
    agentVm: 'orders-1',
    agentIncarnation: 'none',
    entryIncarnation: 'none',
    claimedAtMs: Date.now(),
  };
  await claims.create({name, claim});
  samples.add(performance.now() - startedMs);
}

/** The share of `unknown` answers while something fails. */
import {setTimeout as sleep} from 'node:timers/promises';

import {Site} from '../../../tools/lab/site.js';
import type {Told} from '../../../test/support/bookings.js';
import {
  readRuns,
  setServiceFault,
  setStoreFault,
} from '../../../test/support/bookings.js';
import {runLoad} from './load.js';

const RATE = 40;
const FOR_MS = 1_000;
const DEADLINE_MS = 1_500;
const FAIL_AFTER_MS = 400;
const SETTLE_MS = 1_000;

/** A failure and how it is brought about. */
interface Failure {
  readonly name: string;
  readonly strike: (site: Site) => Promise<void>;
  readonly mend?: (site: Site) => Promise<void>;
}

/** What callers were told, and whether it was true. */
export interface FailureResult {
  readonly name: string;
  readonly unknownShare: number;
  readonly violations: number;
}

const FAILURES: readonly Failure[] = [
  {
    name: 'an agent is killed',
    strike: (site) => Promise.resolve(site.orders[0]!.agent.proc.kill()),
  },
  {
    name: 'an agent freezes and wakes',
    strike: (site) => Promise.resolve(site.orders[0]!.agent.proc.freeze()),
    mend: (site) => Promise.resolve(site.orders[0]!.agent.proc.thaw()),
  },
  {
    name: 'the services die after the effect',
    strike: (site) => setServiceFault(site, {kind: 'die_after_effect'}),
  },
  {
    name: 'answers of 5 writes are lost',
    strike: (site) =>
      setStoreFault(site, {mode: 'lose_write_answer', count: 5}),
  },
  {
    name: 'the store is down',
    strike: (site) => setStoreFault(site, {mode: 'down'}),
    mend: (site) => setStoreFault(site, {mode: 'ok'}),
  },
];

/** Runs all failures, each on a site of its own. */
export async function runFailures(): Promise<FailureResult[]> {
  const results: FailureResult[] = [];
  for (const failure of FAILURES) results.push(await runFailure(failure));
  return results;
}

async function runFailure(failure: Failure): Promise<FailureResult> {
  const {name} = failure;
  const site = await Site.create({entries: 2, engines: 0, orders: 2});
  try {
    const running = runLoad({
      name,
      site,
      rate: RATE,
      forMs: FOR_MS,
      keyPrefix: 'key',
      deadlineMs: DEADLINE_MS,
    });
    await sleep(FAIL_AFTER_MS);
    await failure.strike(site);
    const {results: told} = await running;
    await failure.mend?.(site);
    await sleep(SETTLE_MS);
    const unknown = told.filter(({ran}) => ran === 'unknown').length;
    const violations = await countViolations(site, told);
    return {name, unknownShare: unknown / told.length, violations};
  } finally {
    await site.close();
  }
}

/** Answers that the service's own count contradicts. */
export async function countViolations(
  site: Site,
  told: readonly Told[],
  keyPrefix = 'key',
): Promise<number> {
  const runs = await readRuns(site);
  return told.filter(({ran}, i) => {
    const count = runs.get(`${keyPrefix}-${i}`) ?? 0;
    const isFalse = (ran === 'no' && count > 0) || (ran === 'yes' && count < 1);
    return isFalse || count > 1;
  }).length;
}

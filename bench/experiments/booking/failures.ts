/** Measures the share of `unknown` results during failures. */
import {setTimeout as sleep} from 'node:timers/promises';

import {Site} from '../../../tools/lab/site.js';
import type {BookingResult} from '../../../test/support/bookings.js';
import {
  readExecutionCounts,
  setServiceFault,
  setStoreFault,
} from '../../../test/support/bookings.js';
import {runLoad} from './load.js';

const BOOKINGS_PER_SECOND = 40;
const LOAD_DURATION_MS = 1_000;
const DEADLINE_MS = 1_500;
const INJECT_AFTER_MS = 400;
const SETTLE_MS = 1_000;

/** A failure, how to inject it and how to recover from it. */
interface Failure {
  readonly name: string;
  readonly inject: (site: Site) => Promise<void>;
  readonly recover?: (site: Site) => Promise<void>;
}

/** Results of callers during a failure and how many were wrong. */
export interface FailureResult {
  readonly name: string;
  /** Share of bookings with the result `unknown`. */
  readonly unknownShare: number;
  /** Number of results that `countViolations` counts. */
  readonly violations: number;
}

const FAILURES: readonly Failure[] = [
  {
    name: 'an agent is killed',
    inject: (site) => Promise.resolve(site.orders[0]!.agent.proc.kill()),
  },
  {
    name: 'an agent freezes and wakes',
    inject: (site) => Promise.resolve(site.orders[0]!.agent.proc.pause()),
    recover: (site) => Promise.resolve(site.orders[0]!.agent.proc.resume()),
  },
  {
    name: 'the services die after the effect',
    inject: (site) => setServiceFault(site, {kind: 'die_after_effect'}),
  },
  {
    name: 'answers of 5 writes are lost',
    inject: (site) =>
      setStoreFault(site, {mode: 'lose_write_answer', count: 5}),
  },
  {
    name: 'the store is down',
    inject: (site) => setStoreFault(site, {mode: 'down'}),
    recover: (site) => setStoreFault(site, {mode: 'ok'}),
  },
];

/** Runs all failures, each on its own site. */
export async function runFailures(): Promise<FailureResult[]> {
  const results: FailureResult[] = [];
  for (const failure of FAILURES) results.push(await runFailure(failure));
  return results;
}

async function runFailure(failure: Failure): Promise<FailureResult> {
  const {name} = failure;
  const site = await Site.create({entries: 2, engines: 0, orders: 2});
  try {
    const load = runLoad({
      name,
      site,
      rate: BOOKINGS_PER_SECOND,
      durationMs: LOAD_DURATION_MS,
      keyPrefix: 'key',
      deadlineMs: DEADLINE_MS,
    });
    await sleep(INJECT_AFTER_MS);
    await failure.inject(site);
    const {results} = await load;
    await failure.recover?.(site);
    await sleep(SETTLE_MS);
    const unknown = results.filter(({ran}) => ran === 'unknown').length;
    const violations = await countViolations(site, results);
    return {name, unknownShare: unknown / results.length, violations};
  } finally {
    await site.close();
  }
}

/**
 * Counts bookings whose result contradicts the execution count of the service
 * or that were executed more than once.
 */
export async function countViolations(
  site: Site,
  results: readonly BookingResult[],
  keyPrefix = 'key',
): Promise<number> {
  const executionCounts = await readExecutionCounts(site);
  return results.filter(({ran}, i) => {
    const count = executionCounts.get(`${keyPrefix}-${i}`) ?? 0;
    const isWrong = (ran === 'no' && count > 0) || (ran === 'yes' && count < 1);
    return isWrong || count > 1;
  }).length;
}

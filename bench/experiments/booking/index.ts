/** Latency, platform calls and correctness of bookings. */
import {setTimeout as sleep} from 'node:timers/promises';

import {Site} from '../../../tools/lab/site.js';
import type {CaseResult, Experiment, RatioResult} from '../../lib/types.js';
import {countViolations, runFailures} from './failures.js';
import {runDirect, runLoad} from './load.js';
import {readPlatformCalls} from './platform-calls.js';
import {runSingleClaims} from './single-claims.js';

/** Bookings per second of each load. */
const RATES: readonly number[] = [1, 10, 100, 300];
const LOAD_DURATION_MS = 1_000;
/** Wait after a load until the outcomes of its bookings are stored. */
const OUTCOME_WAIT_MS = 1_200;
const MAX_WRITES_PER_BOOKING = 0.25;
/** Last of `RATES`; `MAX_WRITES_PER_BOOKING` applies to it. */
const MAX_RATE = 300;
const MAX_CONCURRENT = 5_000;

interface RateMeasurement {
  readonly cases: CaseResult[];
  readonly ratios: RatioResult[];
  readonly writesPerBooking: number;
  readonly violations: number;
}

/** Compares bookings through the system with direct calls to the services. */
export const experiment: Experiment = {
  name: 'booking',
  summary: 'added latency, platform calls and truth of bookings',
  starts:
    '2 entries, 4 services with agents, then 2 for each failure; a minute',
  flags: [],
  run: async () => {
    const measured = await measureRates();
    const failures = await runFailures();
    const violations = failures.reduce(
      (sum, failure) => sum + failure.violations,
      measured.violations,
    );
    const shares = failures.map(({name, unknownShare}) => ({
      name: `share of unknown: ${name}`,
      value: unknownShare,
    }));
    return {
      cases: measured.cases,
      ratios: [...measured.ratios, ...shares],
      bounds: [
        {
          name: `platform writes per booking at ${MAX_RATE}/s`,
          stated: MAX_WRITES_PER_BOOKING,
          measured: measured.writesPerBooking,
          holds: measured.writesPerBooking <= MAX_WRITES_PER_BOOKING,
        },
        {
          name: 'answers that the service contradicts',
          stated: 0,
          measured: violations,
          holds: violations === 0,
        },
      ],
    };
  },
};

async function measureRates(): Promise<RateMeasurement> {
  const site = await Site.create({
    entries: 2,
    engines: 0,
    orders: 4,
    editBase: raiseAccountLimit,
  });
  try {
    const cases: CaseResult[] = [];
    const ratios: RatioResult[] = [];
    let writesPerBooking = 0;
    let violations = 0;
    for (const rate of RATES) {
      const measured = await measureRate(site, rate);
      cases.push(...measured.cases);
      ratios.push(...measured.ratios);
      writesPerBooking = measured.writesPerBooking;
      violations += measured.violations;
    }
    return {cases, ratios, writesPerBooking, violations};
  } finally {
    await site.close();
  }
}

async function measureRate(site: Site, rate: number): Promise<RateMeasurement> {
  const load = {site, rate, durationMs: LOAD_DURATION_MS};
  const direct = await runDirect({...load, name: `direct, ${rate}/s`});
  const before = await readPlatformCalls(site);
  const keyPrefix = `rate-${rate}`;
  const name = `booked, ${rate}/s`;
  const {samples, results} = await runLoad({...load, name, keyPrefix});
  await sleep(OUTCOME_WAIT_MS);
  const after = await readPlatformCalls(site);
  const single = await runSingleClaims(load);
  const writesPerBooking = (after.writes - before.writes) / results.length;
  const readsPerBooking = (after.reads - before.reads) / results.length;
  const unanswered = results.filter(({ran}) => ran !== 'yes').length;
  return {
    cases: [direct.result(), samples.result(), single.samples.result()],
    ratios: [
      {name: `platform writes per booking, ${rate}/s`, value: writesPerBooking},
      {name: `platform reads per booking, ${rate}/s`, value: readsPerBooking},
      {
        name: `writes per claim without groups, ${rate}/s`,
        value: single.writesPerClaim,
      },
      {
        name: `share not answered, ${rate}/s`,
        value: unanswered / results.length,
      },
    ],
    writesPerBooking,
    violations: await countViolations(site, results, keyPrefix),
  };
}

/** Raises the account limit so that it does not limit the measured load. */
function raiseAccountLimit(base: Record<string, unknown>): void {
  const accounts = base['clientAccounts'] as Record<string, object>;
  accounts['demo'] = {...accounts['demo'], maxConcurrent: MAX_CONCURRENT};
}

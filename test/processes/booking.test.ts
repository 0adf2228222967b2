/** Bookings while processes crash or pause and while the store fails. */
import {setTimeout as sleep} from 'node:timers/promises';

import {afterEach, describe, expect, it} from 'vitest';

import {RefusalReason} from '../../src/core/errors/index.js';
import {Site} from '../../tools/lab/site.js';
import type {BookingResult} from '../support/bookings.js';
import {
  book,
  countClaimWrites,
  countExecutions,
  setServiceFault,
  setStoreFault,
  waitForClaim,
  waitForExecution,
} from '../support/bookings.js';

/** Deadline of a booking at the entry, shorter than a pause. */
const SHORT_DEADLINE_MS = 1_500;
/** Longer than every timeout of the entry and the agent. */
const PAUSE_MS = 3_000;
/** Time until outcomes are recorded and delayed effects have occurred. */
const SETTLE_TIME_MS = 1_200;

const KEY = 'pallet-1';
const STORE_UNAVAILABLE: string = RefusalReason.STORE_UNAVAILABLE;
const KEY_REUSED: string = RefusalReason.KEY_REUSED;

let site: Site;

afterEach(() => site?.close());

interface BookingCase {
  readonly name: string;
  readonly run: () => Promise<BookingResult[]>;
  /** `ran` and `reason` of each result, in order; `*` matches anything. */
  readonly expected: readonly string[];
  /** Executions at the service; undefined if both 0 and 1 are allowed. */
  readonly executions?: number;
  /**
   * A resumed agent may abort the execution: if every result is `unknown`, 0
   * executions are allowed too.
   */
  readonly mayAbort?: true;
}

function url(entry: number): string {
  return site.entries[entry]!.callersUrl;
}

function agents() {
  return site.orders.map(({agent}) => agent.proc);
}

/** Performs an action while a booking at entry 0 is in progress. */
async function bookDuring(
  action: () => Promise<void>,
  deadlineMs?: number,
  /** Resolves once the booking has progressed far enough. */
  isUnderWay: () => Promise<void> = () => sleep(150),
): Promise<BookingResult> {
  const pending = book({url: url(0), key: KEY, deadlineMs});
  await isUnderWay();
  await action();
  return pending;
}

const CASES: readonly BookingCase[] = [
  {
    name: 'two entries at once',
    run: () => Promise.all([0, 1].map((i) => book({url: url(i), key: KEY}))),
    expected: ['yes', 'yes'],
    executions: 1,
  },
  {
    name: 'the same key with another body',
    run: async () => [
      await book({url: url(0), key: KEY}),
      await book({url: url(1), key: KEY, pallets: 4}),
      await book({url: url(1), key: KEY}),
    ],
    expected: ['yes', 'no key_reused', 'yes'],
    executions: 1,
  },
  {
    name: 'the service dies before the effect',
    run: async () => {
      await setServiceFault(site, {kind: 'die_before_effect'});
      return [await book({url: url(0), key: KEY}), await retry()];
    },
    expected: ['unknown outcome_unknown', 'unknown outcome_unknown'],
    executions: 0,
  },
  {
    name: 'the service dies after the effect',
    run: async () => {
      await setServiceFault(site, {kind: 'die_after_effect'});
      return [await book({url: url(0), key: KEY}), await retry()];
    },
    expected: ['unknown outcome_unknown', 'unknown outcome_unknown'],
    executions: 1,
  },
  {
    name: 'the agents are killed after the response: the outcome is recorded',
    run: async () => {
      const first = await book({url: url(0), key: KEY});
      await sleep(SETTLE_TIME_MS);
      agents().forEach((proc) => proc.kill());
      return [first, await retry()];
    },
    expected: ['yes', 'yes'],
    executions: 1,
  },
  {
    name: 'the agents are killed during the execution',
    run: async () => {
      await setServiceFault(site, {kind: 'slow', factor: 100});
      const first = await bookDuring(async () => {
        agents().forEach((proc) => proc.kill());
        await Promise.resolve();
      }, SHORT_DEADLINE_MS);
      return [first, await retry(SHORT_DEADLINE_MS)];
    },
    expected: ['unknown outcome_unknown', 'unknown *'],
  },
  {
    name: 'the agents are paused beyond every timeout and resumed',
    run: async () => {
      await setServiceFault(site, {kind: 'slow', factor: 100});
      const first = await bookDuring(
        async () => {
          agents().forEach((proc) => proc.pause());
          await Promise.resolve();
        },
        SHORT_DEADLINE_MS,
        () => waitForExecution(site),
      );
      await sleep(PAUSE_MS - SHORT_DEADLINE_MS);
      agents().forEach((proc) => proc.resume());
      return [first, await retry()];
    },
    expected: ['unknown outcome_unknown', '*'],
    executions: 1,
  },
  {
    name: 'the entry is killed during the execution',
    run: async () => {
      await setServiceFault(site, {kind: 'slow', factor: 100});
      const first = await bookDuring(async () => {
        site.entries[0]!.proc.kill();
        await Promise.resolve();
      });
      return [first, await retry()];
    },
    expected: ['none', 'yes'],
    executions: 1,
  },
  {
    name: 'the entry is paused between claim and send, and resumed late',
    run: async () => {
      await setStoreFault(site, {mode: 'slow', delayMs: 400});
      const entry = site.entries[0]!.proc;
      const claimsBefore = await countClaimWrites(site);
      const first = bookDuring(
        async () => {
          entry.pause();
          await sleep(PAUSE_MS);
          entry.resume();
        },
        SHORT_DEADLINE_MS,
        () => waitForClaim(site, claimsBefore),
      );
      await sleep(PAUSE_MS / 2);
      await setStoreFault(site, {mode: 'ok'});
      const second = await retry();
      return [await first, second];
    },
    expected: ['unknown *', 'yes'],
    executions: 1,
  },
  {
    name: 'the response to the claim is lost',
    run: async () => {
      await setStoreFault(site, {mode: 'lose_write_answer', count: 1});
      return [await book({url: url(0), key: KEY})];
    },
    expected: ['yes'],
    executions: 1,
  },
  {
    name: 'the store fails before the effect',
    run: async () => {
      await setStoreFault(site, {mode: 'fail_before_effect', count: 1});
      return [await book({url: url(0), key: KEY}), await retry()];
    },
    expected: ['unknown store_unavailable', 'yes'],
    executions: 1,
  },
  {
    name: 'the store is down and the key is new',
    run: async () => {
      await setStoreFault(site, {mode: 'down'});
      return [await book({url: url(0), key: KEY, firstUse: true})];
    },
    expected: ['no store_unavailable'],
    executions: 0,
  },
  {
    name: 'no target is reachable: the key is voided permanently',
    run: async () => {
      agents().forEach((proc) => proc.kill());
      await sleep(SETTLE_TIME_MS);
      return [await book({url: url(0), key: KEY}), await retry()];
    },
    expected: ['no no_target', 'no claim_voided'],
    executions: 0,
  },
  {
    name: 'two faults: the entry is killed and the store is down',
    run: async () => {
      await setServiceFault(site, {kind: 'slow', factor: 100});
      const first = await bookDuring(async () => {
        site.entries[0]!.proc.kill();
        await setStoreFault(site, {mode: 'down'});
      });
      const second = await retry();
      await setStoreFault(site, {mode: 'ok'});
      return [first, second, await retry()];
    },
    expected: ['none', 'unknown store_unavailable', 'yes'],
    executions: 1,
  },
  {
    name: 'two faults: the agents are paused and the claim response is lost',
    run: async () => {
      await setStoreFault(site, {mode: 'lose_write_answer', count: 1});
      await setServiceFault(site, {kind: 'slow', factor: 60});
      const first = await bookDuring(async () => {
        agents().forEach((proc) => proc.pause());
        await sleep(PAUSE_MS);
        agents().forEach((proc) => proc.resume());
      }, SHORT_DEADLINE_MS);
      return [first, await retry()];
    },
    expected: ['unknown outcome_unknown', '*'],
    executions: 1,
    mayAbort: true,
  },
  {
    name: 'two faults: the service dies after the effect, the agents are killed',
    run: async () => {
      await setServiceFault(site, {kind: 'die_after_effect'});
      const first = await book({url: url(0), key: KEY});
      agents().forEach((proc) => proc.kill());
      return [first, await retry(SHORT_DEADLINE_MS)];
    },
    expected: ['unknown outcome_unknown', 'unknown *'],
    executions: 1,
  },
];

function retry(deadlineMs?: number): Promise<BookingResult> {
  return book({url: url(1), key: KEY, deadlineMs});
}

function matches(result: BookingResult, expected: string): boolean {
  const [ran, reason = '*'] = expected.split(' ');
  if (ran === '*') return true;
  if (result.ran !== ran) return false;
  return reason === '*' || ran === 'yes' || result.reason === reason;
}

/** Checks in every case that the results agree with the executions. */
function expectConsistent(
  results: readonly BookingResult[],
  executions: number,
): void {
  const isReportedAsNotRun = results.some(
    ({ran, reason}) => ran === 'no' && reason !== KEY_REUSED,
  );
  const succeeded = results.filter(({ran}) => ran === 'yes');
  expect(executions).toBeLessThanOrEqual(isReportedAsNotRun ? 0 : 1);
  if (succeeded.length > 0) expect(executions).toBe(1);
  expect(new Set(succeeded.map(({text}) => text)).size).toBeLessThanOrEqual(1);
}

describe('bookings', () => {
  it.each(CASES)(
    '$name',
    async ({run, expected, executions: expectedExecutions, mayAbort}) => {
      site = await Site.create({entries: 2, engines: 0, orders: 2});
      const results = await run();
      await sleep(SETTLE_TIME_MS);
      const executions = await countExecutions(site, KEY);
      expectConsistent(results, executions);
      const mismatches = results.filter(
        (result, i) => !matches(result, expected[i]!),
      );
      expect(mismatches, JSON.stringify(results)).toEqual([]);
      const areAllUnknown = results.every(({ran}) => ran === 'unknown');
      if (mayAbort === true && areAllUnknown)
        expect(executions).toBeLessThanOrEqual(1);
      else if (expectedExecutions !== undefined)
        expect(executions).toBe(expectedExecutions);
      const refused = results.filter(
        ({reason}) => reason === STORE_UNAVAILABLE,
      );
      for (const {retryAfter} of refused) expect(retryAfter).not.toBe('');
    },
  );
});

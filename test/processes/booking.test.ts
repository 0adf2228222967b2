/** Bookings while processes die, freeze and wake, and the store fails. */
import {setTimeout as sleep} from 'node:timers/promises';

import {afterEach, describe, expect, it} from 'vitest';

import {RefusalReason} from '../../src/core/errors/index.js';
import {Site} from '../../tools/lab/site.js';
import type {BookingResult} from '../support/bookings.js';
import {
  book,
  countExecutions,
  setServiceFault,
  setStoreFault,
} from '../support/bookings.js';

/** The entry's own time for a booking, shorter than a freeze. */
const SHORT_DEADLINE_MS = 1_500;
/** Longer than every timeout of the entry and the agent. */
const PAUSE_MS = 3_000;
/** By now outcomes are recorded, and late effects have come. */
const SETTLE_TIME_MS = 1_200;

const KEY = 'pallet-1';
const STORE_UNAVAILABLE: string = RefusalReason.STORE_UNAVAILABLE;
const KEY_REUSED: string = RefusalReason.KEY_REUSED;

let site: Site;

afterEach(() => site?.close());

interface BookingCase {
  readonly name: string;
  readonly run: () => Promise<BookingResult[]>;
  /** What each request was told, in order; `*` where it may be anything. */
  readonly expected: readonly string[];
  /** Runs at the service; undefined where it may be 0 or 1. */
  readonly executions?: number;
  /** A thawed agent may end the run; then no answer may tell of an outcome. */
  readonly mayAbort?: true;
}

function url(entry: number): string {
  return site.entries[entry]!.callersUrl;
}

function agents() {
  return site.orders.map(({agent}) => agent.proc);
}

/** Books at entry 0 while something happens. */
async function bookDuring(
  action: () => Promise<void>,
  deadlineMs?: number,
): Promise<BookingResult> {
  const pending = book({url: url(0), key: KEY, deadlineMs});
  await sleep(150);
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
    name: 'the agents are killed after the answer: the outcome is recorded',
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
    name: 'the agents are killed while it runs',
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
    name: 'the agents freeze past every timeout and wake',
    run: async () => {
      await setServiceFault(site, {kind: 'slow', factor: 100});
      const first = await bookDuring(async () => {
        agents().forEach((proc) => proc.freeze());
        await Promise.resolve();
      }, SHORT_DEADLINE_MS);
      await sleep(PAUSE_MS - SHORT_DEADLINE_MS);
      agents().forEach((proc) => proc.thaw());
      return [first, await retry()];
    },
    expected: ['unknown outcome_unknown', '*'],
    executions: 1,
  },
  {
    name: 'the entry is killed while it runs',
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
    name: 'the entry freezes between claim and send, and wakes late',
    run: async () => {
      await setStoreFault(site, {mode: 'slow', delayMs: 400});
      const entry = site.entries[0]!.proc;
      const first = bookDuring(async () => {
        entry.freeze();
        await sleep(PAUSE_MS);
        entry.thaw();
      }, SHORT_DEADLINE_MS);
      await sleep(PAUSE_MS / 2);
      await setStoreFault(site, {mode: 'ok'});
      const second = await retry();
      return [await first, second];
    },
    expected: ['unknown *', 'yes'],
    executions: 1,
  },
  {
    name: 'the answer of the claim is lost',
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
    name: 'no target can be reached: the key is void for good',
    run: async () => {
      agents().forEach((proc) => proc.kill());
      await sleep(SETTLE_TIME_MS);
      return [await book({url: url(0), key: KEY}), await retry()];
    },
    expected: ['no no_target', 'no claim_voided'],
    executions: 0,
  },
  {
    name: 'two at a time: killed entry, and the store goes down',
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
    name: 'two at a time: frozen agents, and the claim loses its answer',
    run: async () => {
      await setStoreFault(site, {mode: 'lose_write_answer', count: 1});
      await setServiceFault(site, {kind: 'slow', factor: 60});
      const first = await bookDuring(async () => {
        agents().forEach((proc) => proc.freeze());
        await sleep(PAUSE_MS);
        agents().forEach((proc) => proc.thaw());
      }, SHORT_DEADLINE_MS);
      return [first, await retry()];
    },
    expected: ['unknown outcome_unknown', '*'],
    executions: 1,
    mayAbort: true,
  },
  {
    name: 'two at a time: the service dies after the effect, agents too',
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

/** The promise itself, whatever else is expected. */
function expectConsistent(
  results: readonly BookingResult[],
  executions: number,
): void {
  const no = results.some(
    ({ran, reason}) => ran === 'no' && reason !== KEY_REUSED,
  );
  const yes = results.filter(({ran}) => ran === 'yes');
  expect(executions).toBeLessThanOrEqual(no ? 0 : 1);
  if (yes.length > 0) expect(executions).toBe(1);
  expect(new Set(yes.map(({text}) => text)).size).toBeLessThanOrEqual(1);
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

/** Bookings while processes die, freeze and wake, and the store fails. */
import {setTimeout as sleep} from 'node:timers/promises';

import {afterEach, describe, expect, it} from 'vitest';

import {RefusalReason} from '../../src/core/errors/index.js';
import {Site} from '../../tools/lab/site.js';
import type {Told} from '../support/bookings.js';
import {
  book,
  countRuns,
  setServiceFault,
  setStoreFault,
} from '../support/bookings.js';

/** The entry's own time for a booking, shorter than a freeze. */
const SHORT_MS = 1_500;
/** Longer than every timeout of the entry and the agent. */
const FREEZE_MS = 3_000;
/** By now outcomes are recorded, and late effects have come. */
const SETTLE_MS = 1_200;

const KEY = 'pallet-1';
const DOWN: string = RefusalReason.STORE_UNAVAILABLE;
const OTHER_BODY: string = RefusalReason.KEY_REUSED;

let site: Site;

afterEach(() => site?.close());

interface Case {
  readonly name: string;
  readonly run: () => Promise<Told[]>;
  /** What each request was told, in order; `*` where it may be anything. */
  readonly told: readonly string[];
  /** Runs at the service; undefined where it may be 0 or 1. */
  readonly runs?: number;
  /** A thawed agent may end the run; then no answer may tell of an outcome. */
  readonly mayBreakOff?: true;
}

function url(entry: number): string {
  return site.entries[entry]!.callersUrl;
}

function agents() {
  return site.orders.map(({agent}) => agent.proc);
}

/** Books at entry 0 while something happens. */
async function bookWhile(
  happens: () => Promise<void>,
  deadlineMs?: number,
): Promise<Told> {
  const told = book({url: url(0), key: KEY, deadlineMs});
  await sleep(150);
  await happens();
  return told;
}

const CASES: readonly Case[] = [
  {
    name: 'two entries at once',
    run: () => Promise.all([0, 1].map((i) => book({url: url(i), key: KEY}))),
    told: ['yes', 'yes'],
    runs: 1,
  },
  {
    name: 'the same key with another body',
    run: async () => [
      await book({url: url(0), key: KEY}),
      await book({url: url(1), key: KEY, pallets: 4}),
      await book({url: url(1), key: KEY}),
    ],
    told: ['yes', 'no key_reused', 'yes'],
    runs: 1,
  },
  {
    name: 'the service dies before the effect',
    run: async () => {
      await setServiceFault(site, {kind: 'die_before_effect'});
      return [await book({url: url(0), key: KEY}), await repeat()];
    },
    told: ['unknown outcome_unknown', 'unknown outcome_unknown'],
    runs: 0,
  },
  {
    name: 'the service dies after the effect',
    run: async () => {
      await setServiceFault(site, {kind: 'die_after_effect'});
      return [await book({url: url(0), key: KEY}), await repeat()];
    },
    told: ['unknown outcome_unknown', 'unknown outcome_unknown'],
    runs: 1,
  },
  {
    name: 'the agents are killed after the answer: the outcome is recorded',
    run: async () => {
      const first = await book({url: url(0), key: KEY});
      await sleep(SETTLE_MS);
      agents().forEach((proc) => proc.kill());
      return [first, await repeat()];
    },
    told: ['yes', 'yes'],
    runs: 1,
  },
  {
    name: 'the agents are killed while it runs',
    run: async () => {
      await setServiceFault(site, {kind: 'slow', factor: 100});
      const first = await bookWhile(async () => {
        agents().forEach((proc) => proc.kill());
        await Promise.resolve();
      }, SHORT_MS);
      return [first, await repeat(SHORT_MS)];
    },
    told: ['unknown outcome_unknown', 'unknown *'],
  },
  {
    name: 'the agents freeze past every timeout and wake',
    run: async () => {
      await setServiceFault(site, {kind: 'slow', factor: 100});
      const first = await bookWhile(async () => {
        agents().forEach((proc) => proc.pause());
        await Promise.resolve();
      }, SHORT_MS);
      await sleep(FREEZE_MS - SHORT_MS);
      agents().forEach((proc) => proc.resume());
      return [first, await repeat()];
    },
    told: ['unknown outcome_unknown', '*'],
    runs: 1,
  },
  {
    name: 'the entry is killed while it runs',
    run: async () => {
      await setServiceFault(site, {kind: 'slow', factor: 100});
      const first = await bookWhile(async () => {
        site.entries[0]!.proc.kill();
        await Promise.resolve();
      });
      return [first, await repeat()];
    },
    told: ['none', 'yes'],
    runs: 1,
  },
  {
    name: 'the entry freezes between claim and send, and wakes late',
    run: async () => {
      await setStoreFault(site, {mode: 'slow', delayMs: 400});
      const entry = site.entries[0]!.proc;
      const first = bookWhile(async () => {
        entry.pause();
        await sleep(FREEZE_MS);
        entry.resume();
      }, SHORT_MS);
      await sleep(FREEZE_MS / 2);
      await setStoreFault(site, {mode: 'ok'});
      const second = await repeat();
      return [await first, second];
    },
    told: ['unknown *', 'yes'],
    runs: 1,
  },
  {
    name: 'the answer of the claim is lost',
    run: async () => {
      await setStoreFault(site, {mode: 'lose_write_answer', count: 1});
      return [await book({url: url(0), key: KEY})];
    },
    told: ['yes'],
    runs: 1,
  },
  {
    name: 'the store fails before the effect',
    run: async () => {
      await setStoreFault(site, {mode: 'fail_before_effect', count: 1});
      return [await book({url: url(0), key: KEY}), await repeat()];
    },
    told: ['unknown store_unavailable', 'yes'],
    runs: 1,
  },
  {
    name: 'the store is down and the key is new',
    run: async () => {
      await setStoreFault(site, {mode: 'down'});
      return [await book({url: url(0), key: KEY, firstUse: true})];
    },
    told: ['no store_unavailable'],
    runs: 0,
  },
  {
    name: 'no target can be reached: the key is void for good',
    run: async () => {
      agents().forEach((proc) => proc.kill());
      await sleep(SETTLE_MS);
      return [await book({url: url(0), key: KEY}), await repeat()];
    },
    told: ['no no_target', 'no claim_voided'],
    runs: 0,
  },
  {
    name: 'two at a time: killed entry, and the store goes down',
    run: async () => {
      await setServiceFault(site, {kind: 'slow', factor: 100});
      const first = await bookWhile(async () => {
        site.entries[0]!.proc.kill();
        await setStoreFault(site, {mode: 'down'});
      });
      const second = await repeat();
      await setStoreFault(site, {mode: 'ok'});
      return [first, second, await repeat()];
    },
    told: ['none', 'unknown store_unavailable', 'yes'],
    runs: 1,
  },
  {
    name: 'two at a time: frozen agents, and the claim loses its answer',
    run: async () => {
      await setStoreFault(site, {mode: 'lose_write_answer', count: 1});
      await setServiceFault(site, {kind: 'slow', factor: 60});
      const first = await bookWhile(async () => {
        agents().forEach((proc) => proc.pause());
        await sleep(FREEZE_MS);
        agents().forEach((proc) => proc.resume());
      }, SHORT_MS);
      return [first, await repeat()];
    },
    told: ['unknown outcome_unknown', '*'],
    runs: 1,
    mayBreakOff: true,
  },
  {
    name: 'two at a time: the service dies after the effect, agents too',
    run: async () => {
      await setServiceFault(site, {kind: 'die_after_effect'});
      const first = await book({url: url(0), key: KEY});
      agents().forEach((proc) => proc.kill());
      return [first, await repeat(SHORT_MS)];
    },
    told: ['unknown outcome_unknown', 'unknown *'],
    runs: 1,
  },
];

function repeat(deadlineMs?: number): Promise<Told> {
  return book({url: url(1), key: KEY, deadlineMs});
}

function fits(told: Told, expected: string): boolean {
  const [ran, reason = '*'] = expected.split(' ');
  if (ran === '*') return true;
  if (told.ran !== ran) return false;
  return reason === '*' || ran === 'yes' || told.reason === reason;
}

/** The promise itself, whatever else is expected. */
function expectTrue(told: readonly Told[], runs: number): void {
  const no = told.some(
    ({ran, reason}) => ran === 'no' && reason !== OTHER_BODY,
  );
  const yes = told.filter(({ran}) => ran === 'yes');
  expect(runs).toBeLessThanOrEqual(no ? 0 : 1);
  if (yes.length > 0) expect(runs).toBe(1);
  expect(new Set(yes.map(({text}) => text)).size).toBeLessThanOrEqual(1);
}

describe('bookings', () => {
  it.each(CASES)(
    '$name',
    async ({run, told: expected, runs: expectedRuns, mayBreakOff}) => {
      site = await Site.create({entries: 2, engines: 0, orders: 2});
      const told = await run();
      await sleep(SETTLE_MS);
      const runs = await countRuns(site, KEY);
      expectTrue(told, runs);
      const wrong = told.filter((one, i) => !fits(one, expected[i]!));
      expect(wrong, JSON.stringify(told)).toEqual([]);
      const isUnknown = told.every(({ran}) => ran === 'unknown');
      if (mayBreakOff === true && isUnknown)
        expect(runs).toBeLessThanOrEqual(1);
      else if (expectedRuns !== undefined) expect(runs).toBe(expectedRuns);
      const turnedAway = told.filter(({reason}) => reason === DOWN);
      for (const {retryAfter} of turnedAway) expect(retryAfter).not.toBe('');
    },
  );
});

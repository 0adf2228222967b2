/** Requests that are held to end their targets. */
import fc from 'fast-check';
import {beforeEach, describe, expect, it} from 'vitest';

import {ManualClock} from '../../../src/core/clock/index.js';
import type {RecordedLosses} from '../../../src/core/poison/index.js';
import {LossLedger, POISON_LOSSES} from '../../../src/core/poison/index.js';

const REQUEST = 'a request';
const LIVES = Array.from({length: POISON_LOSSES}, (_, i) => `i-${i}@1000`);
const SEED = 20261204;

/** Longer than losses are remembered, in milliseconds. */
const LONG_MS = 601_000;

/** Falls of data centres that are not one and the same. */
const BETWEEN_FALLS_MS = 3_000;

describe('LossLedger', () => {
  let clock: ManualClock;
  let ledger: LossLedger;

  beforeEach(() => {
    clock = new ManualClock();
    ledger = new LossLedger({clock});
  });

  const lose = (life: string, request = REQUEST) => {
    ledger.recordLoss({request, incarnation: life});
    ledger.confirm({request, incarnation: life});
  };

  const loseAll = (request = REQUEST) => {
    for (const life of LIVES) lose(life, request);
  };

  const notesOf = (
    lives: readonly string[],
    isSettled = true,
  ): RecordedLosses => ({
    losses: lives.map((life) => ({request: REQUEST, life, isSettled})),
    harmless: [],
  });

  it('holds a request that lost several targets, and no other', () => {
    loseAll();
    expect(ledger.isPoison(REQUEST)).toBe(true);
    expect(ledger.isPoison('another')).toBe(false);
  });

  it('waits until the causes are looked into', () => {
    for (const life of LIVES)
      ledger.recordLoss({request: REQUEST, incarnation: life});
    expect(ledger.mayBePoison(REQUEST)).toBe(true);
    expect(ledger.isPoison(REQUEST)).toBe(false);
  });

  it('counts a life once that is lost under many equal requests', () => {
    for (let i = 0; i < 10; i++) lose('i-1@1000');
    expect(ledger.isPoison(REQUEST)).toBe(false);
  });

  it('counts each life of a target that starts again under its id', () => {
    for (const born of [1, 2, 3]) lose(`i-1@${born}`);
    expect(ledger.isPoison(REQUEST)).toBe(true);
  });

  it('counts what other entries saw, each life once', () => {
    lose(LIVES[0]!);
    ledger.updateEntry('entry-2', notesOf([LIVES[0]!, LIVES[1]!]));
    expect(ledger.isPoison(REQUEST)).toBe(false);
    ledger.updateEntry('entry-3', notesOf([LIVES[2]!]));
    expect(ledger.isPoison(REQUEST)).toBe(true);
  });

  it.each([
    {
      name: 'it was served',
      act: () => ledger.recordServed(REQUEST),
    },
    {
      name: 'one loss had another cause',
      act: () => ledger.dismiss({request: REQUEST, incarnation: LIVES[0]!}),
    },
    {
      name: 'a target fell with its data centre',
      act: () =>
        ledger.recordOutage({request: REQUEST, incarnation: LIVES[0]!}),
    },
    {
      name: 'another is known to have ended its targets',
      act: () => ledger.attribute('another', LIVES),
    },
    {name: 'it was released', act: () => ledger.reset(REQUEST)},
    {name: 'it was long ago', act: () => clock.advance(LONG_MS)},
  ])('lets a request go once $name', ({act}) => {
    loseAll();
    act();
    expect(ledger.isPoison(REQUEST)).toBe(false);
    expect(ledger.mayBePoison(REQUEST)).toBe(false);
  });

  it('lets a request go that another entry served, and tells the others', () => {
    ledger.updateEntry('entry-2', notesOf(LIVES));
    ledger.recordServed(REQUEST);
    expect(ledger.isPoison(REQUEST)).toBe(false);
    const third = new LossLedger({clock});
    third.updateEntry('entry-2', notesOf(LIVES));
    third.updateEntry('entry-1', ledger.toRecordedLosses());
    expect(third.isPoison(REQUEST)).toBe(false);
  });

  it('has news for the others only where they hold what was served', () => {
    expect(ledger.recordServed(REQUEST)).toBe(false);
    ledger.updateEntry('entry-2', notesOf(LIVES));
    expect(ledger.recordServed(REQUEST)).toBe(true);
    expect(ledger.recordServed(REQUEST)).toBe(false);
  });

  it('awaits one more loss where another request lost the same targets', () => {
    loseAll();
    loseAll('beside it');
    expect(ledger.isPoison(REQUEST)).toBe(false);
    lose('i-9@1000');
    expect(ledger.isPoison(REQUEST)).toBe(true);
    ledger.attribute(REQUEST, [...ledger.incarnationsOf(REQUEST)]);
    expect(ledger.isPoison('beside it')).toBe(false);
    expect(ledger.mayBePoison('beside it')).toBe(false);
  });

  it('does not take falls of data centres for chance for ever', () => {
    const fall = (i: number) => {
      clock.advance(BETWEEN_FALLS_MS);
      ledger.recordOutage({request: REQUEST, incarnation: `i-${i}@1`});
    };
    for (const i of [1, 2, 3, 4]) fall(i);
    expect(ledger.isPoison(REQUEST)).toBe(false);
    fall(5);
    expect(ledger.isPoison(REQUEST)).toBe(true);
  });

  it('goes on where an earlier life of the entry ended', () => {
    lose(LIVES[0]!);
    ledger.recordLoss({request: REQUEST, incarnation: LIVES[1]!});
    const next = new LossLedger({clock});
    next.restore(ledger.toRecordedLosses());
    next.recordLoss({request: REQUEST, incarnation: LIVES[2]!});
    next.confirm({request: REQUEST, incarnation: LIVES[2]!});
    expect(next.isPoison(REQUEST)).toBe(true);
  });

  it('agrees with a count of all lives, however they are spread', () => {
    const losses = fc.array(
      fc.record({
        entry: fc.integer({min: 0, max: 3}),
        request: fc.constantFrom('p', 'q', 'r'),
        life: fc.constantFrom('a', 'b', 'c', 'd', 'e'),
      }),
    );
    fc.assert(
      fc.property(losses, (all) => {
        const spread = new LossLedger({clock});
        for (const entry of [0, 1, 2, 3]) {
          const seen = all.filter((loss) => loss.entry === entry);
          for (const {request, life} of entry === 0 ? seen : []) {
            spread.recordLoss({request, incarnation: life});
            spread.confirm({request, incarnation: life});
          }
          const notes = seen.map(({request, life}) => {
            return {request, life, isSettled: true};
          });
          if (entry > 0) {
            spread.updateEntry(`entry-${entry}`, {losses: notes, harmless: []});
          }
        }
        for (const request of ['p', 'q', 'r']) {
          const lives = new Set(
            all.filter((l) => l.request === request).map((l) => l.life),
          );
          expect(new Set(spread.incarnationsOf(request))).toEqual(lives);
          // Beyond one more loss no twin is an explanation.
          if (lives.size > POISON_LOSSES) {
            expect(spread.isPoison(request)).toBe(true);
          }
          if (lives.size < POISON_LOSSES) {
            expect(spread.isPoison(request)).toBe(false);
          }
        }
      }),
      {seed: SEED, numRuns: 300},
    );
  });
});

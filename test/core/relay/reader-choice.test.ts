import fc from 'fast-check';
import {beforeEach, describe, expect, it} from 'vitest';

import {ManualClock, SeededRandom} from '../../../src/core/clock/index.js';
import type {EntryRecord} from '../../../src/core/relay/index.js';
import {orderReaders, ReaderChoice} from '../../../src/core/relay/index.js';

const SEED = 20261204;

/** Longer than a reader is avoided after one failure, in milliseconds. */
const AVOIDED_MS = 2_000;

const entriesIn = (dataCentres: readonly string[]): EntryRecord[] =>
  dataCentres.map((dataCentre, i) => ({
    vm: `edge-${i}`,
    dataCentre,
    address: `10.0.0.${i}:7200`,
  }));

const spread = (count: number, dataCentres: number) =>
  entriesIn(Array.from({length: count}, (_, i) => `dc-${i % dataCentres}`));

/** The reader of each entry, by its VM; itself if it reads the store. */
const readersOf = (entries: readonly EntryRecord[]) =>
  new Map(
    entries.map(({vm, dataCentre}) => [
      vm,
      orderReaders({vm, dataCentre, entries})[0]!.vm,
    ]),
  );

describe('the order of readers', () => {
  it.each([
    {count: 5, dataCentres: 4, readers: 1},
    {count: 30, dataCentres: 3, readers: 3},
    {count: 68, dataCentres: 6, readers: 6},
    {count: 300, dataCentres: 6, readers: 12},
    {count: 900, dataCentres: 6, readers: 30},
  ])(
    'lets $readers of $count entries in $dataCentres data centres read',
    ({count, dataCentres, readers}) => {
      const chosen = readersOf(spread(count, dataCentres));
      expect(new Set(chosen.values()).size).toBe(readers);
      // A reader reads for itself, so no entry asks one that asks another.
      for (const reader of chosen.values())
        expect(chosen.get(reader)).toBe(reader);
    },
  );

  it('keeps the questions in a data centre that has enough entries', () => {
    const entries = spread(30, 3);
    const dataCentreOf = new Map(entries.map((e) => [e.vm, e.dataCentre]));
    for (const [vm, reader] of readersOf(entries))
      expect(dataCentreOf.get(reader)).toBe(dataCentreOf.get(vm));
  });

  it.each([
    {name: 'wide', links: [200, 10, 10, 190, 10], readers: [0, 3]},
    {name: 'equal', links: [100, 100, 100, 100], readers: [0, 1, 2, 3]},
    {
      name: 'unknown',
      links: [undefined, undefined, undefined, undefined],
      readers: [0, 1, 2, 3],
    },
  ])('lets an entry with a $name link read for the others', (row) => {
    const entries = entriesIn(row.links.map(() => 'dc-0')).map((entry, i) => ({
      ...entry,
      linkMbps: row.links[i],
    }));
    const allowed = row.readers.map((i) => `edge-${i}`);
    for (const reader of readersOf(entries).values())
      expect(allowed).toContain(reader);
  });

  it('does not depend on the order in which the entries are known', () => {
    fc.assert(
      fc.property(
        fc.shuffledSubarray(spread(20, 2), {minLength: 20}),
        (entries) => {
          expect(readersOf(entries)).toEqual(readersOf(spread(20, 2)));
        },
      ),
    );
  });

  it('has no reader for an entry that knows none', () => {
    const order = orderReaders({vm: 'a', dataCentre: 'x', entries: []});
    expect(order).toEqual([]);
  });
});

describe('ReaderChoice', () => {
  const entries = spread(8, 1);
  const ranked = orderReaders({vm: '-', dataCentre: 'dc-0', entries});
  let clock: ManualClock;
  let random: SeededRandom;

  beforeEach(() => {
    clock = new ManualClock();
    random = new SeededRandom(SEED);
  });

  const choiceOf = (rank: number) => {
    const {vm, dataCentre} = ranked[rank]!;
    const choice = new ReaderChoice({vm, dataCentre, clock, random});
    choice.update(entries);
    return choice;
  };

  it('reads the store as long as no entry is known', () => {
    const choice = new ReaderChoice({vm: 'a', dataCentre: 'x', clock, random});
    expect(choice.next()).toBeUndefined();
    expect(choice.hasOthers).toBe(false);
  });

  it('moves past readers that failed, until it reads the store itself', () => {
    const choice = choiceOf(2);
    expect(choice.next()).toEqual(ranked[0]);
    choice.recordFailure(ranked[0]!.vm);
    expect(choice.next()).toEqual(ranked[1]);
    choice.recordFailure(ranked[1]!.vm);
    expect(choice.next()).toBeUndefined();
  });

  it('asks others while the store turns it away', () => {
    const choice = choiceOf(0);
    expect(choice.next()).toBeUndefined();
    choice.recordFailure(ranked[0]!.vm);
    expect(choice.next()).toEqual(ranked[1]);
  });

  it('reads the store if all have failed', () => {
    const choice = choiceOf(0);
    for (const {vm} of entries) choice.recordFailure(vm);
    expect(choice.next()).toBeUndefined();
  });

  it('returns to a reader after a time that doubles', () => {
    const choice = choiceOf(3);
    const {vm} = ranked[0]!;
    choice.recordFailure(vm);
    clock.advance(AVOIDED_MS);
    expect(choice.next()).toEqual(ranked[0]);
    choice.recordFailure(vm);
    clock.advance(AVOIDED_MS);
    expect(choice.next()).not.toEqual(ranked[0]);
    clock.advance(AVOIDED_MS);
    expect(choice.next()).toEqual(ranked[0]);
    choice.recordSuccess(vm);
    choice.recordFailure(vm);
    clock.advance(AVOIDED_MS);
    expect(choice.next()).toEqual(ranked[0]);
  });

  it('counts failures at the same time once', () => {
    const choice = choiceOf(3);
    for (let i = 0; i < 5; i++) choice.recordFailure(ranked[0]!.vm);
    clock.advance(AVOIDED_MS);
    expect(choice.next()).toEqual(ranked[0]);
  });

  it('does not let all entries return at once', () => {
    const returnedAfter = new Set<number>();
    for (let i = 0; i < 6; i++) {
      const choice = choiceOf(3);
      choice.recordFailure(ranked[0]!.vm);
      let waitedMs = 0;
      while (choice.next() !== ranked[0]) {
        clock.advance(10);
        waitedMs += 10;
      }
      returnedAfter.add(waitedMs);
    }
    expect(returnedAfter.size).toBeGreaterThan(3);
  });

  it('forgets the failures of entries that are gone', () => {
    const choice = choiceOf(3);
    choice.recordFailure(ranked[0]!.vm);
    choice.update(entries.filter((entry) => entry.vm !== ranked[0]!.vm));
    choice.update(entries);
    expect(choice.next()).toEqual(ranked[0]);
  });
});

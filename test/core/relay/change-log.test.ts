import fc from 'fast-check';
import {beforeEach, describe, expect, it} from 'vitest';

import {ManualClock} from '../../../src/core/clock/index.js';
import type {SourceChange} from '../../../src/core/edges/state-source.js';
import {ChangeLog, LogAnswer} from '../../../src/core/relay/index.js';

/** More than a log keeps. */
const MANY_NAMES = 600;

const change = (name: string, value: unknown): SourceChange<unknown> => ({
  name,
  value,
  isDeleted: false,
});

/** Applies changes as a follower does. */
function apply(
  state: Map<string, unknown>,
  changes: ReadonlyArray<SourceChange<unknown>>,
): void {
  for (const {name, value, isDeleted} of changes) {
    if (isDeleted) state.delete(name);
    else state.set(name, value);
  }
}

/** A clock whose time of day goes on while the machine is suspended. */
class SuspendableClock extends ManualClock {
  private suspendedMs = 0;

  override wallNow(): number {
    return this.now() + this.suspendedMs;
  }

  suspend(ms: number): void {
    this.suspendedMs += ms;
  }
}

describe('ChangeLog', () => {
  let clock: SuspendableClock;
  let log: ChangeLog;

  beforeEach(() => {
    clock = new SuspendableClock();
    log = new ChangeLog({clock});
  });

  const append = (revision: number, changes: SourceChange<unknown>[] = []) =>
    log.append({changes, revision, currentAtMs: clock.now()});

  it.each([
    {name: 'before it reads', since: 40, answer: LogAnswer.NOT_READING},
    {
      name: 'at its revision',
      begin: true,
      since: 42,
      answer: LogAnswer.WAIT,
    },
    {name: 'ahead of it', begin: true, since: 50, answer: LogAnswer.WAIT},
    {name: 'behind', begin: true, since: 41, answer: LogAnswer.CHANGES},
    {
      name: 'behind its begin',
      begin: true,
      since: 39,
      answer: LogAnswer.TOO_OLD,
    },
    {
      name: 'behind, after the reads have stopped',
      begin: true,
      stop: true,
      since: 41,
      answer: LogAnswer.NOT_READING,
    },
    {
      name: 'of another epoch',
      begin: true,
      since: 41,
      epoch: 2,
      answer: LogAnswer.TOO_OLD,
    },
  ])('answers an entry $name with $answer', (row) => {
    const {begin, stop, since, epoch = 1, answer} = row;
    if (begin === true) {
      log.startReading(40, 1);
      append(42, [change('a', 1)]);
    }
    if (stop === true) log.stopReading();
    expect(log.answer(since, epoch)).toBe(answer);
  });

  it('begins anew at the same revision of another epoch', () => {
    log.startReading(40, 1);
    append(42, [change('a', 1)]);
    log.startReading(42, 2);
    expect(log.answer(41, 2)).toBe(LogAnswer.TOO_OLD);
    expect(log.confirmedAtMs).toBeUndefined();
  });

  it('begins anew after a gap in the reads', () => {
    log.startReading(40);
    append(42, [change('a', 1)]);
    log.stopReading();
    log.startReading(45);
    expect(log.answer(41)).toBe(LogAnswer.TOO_OLD);
    expect(log.confirmedAtMs).toBeUndefined();
  });

  it('keeps its changes if the reads go on where they stopped', () => {
    log.startReading(40);
    append(42, [change('a', 1)]);
    log.stopReading();
    log.startReading(42);
    expect(log.answer(40)).toBe(LogAnswer.CHANGES);
  });

  it('tells no age after a suspension, until the next read', () => {
    log.startReading(40);
    append(41);
    expect(log.confirmedAtMs).toBe(clock.now());
    clock.suspend(4_000);
    expect(log.confirmedAtMs).toBeUndefined();
    append(42);
    expect(log.confirmedAtMs).toBe(clock.now());
  });

  it('is bounded, and says so to entries that are too far behind', () => {
    log.startReading(0);
    for (let i = 1; i <= MANY_NAMES; i++) append(i, [change(`x${i}`, i)]);
    expect(log.answer(0)).toBe(LogAnswer.TOO_OLD);
    expect(log.answer(MANY_NAMES - 1)).toBe(LogAnswer.CHANGES);
  });

  it('brings any follower to the state of one that read all changes', () => {
    const reads = fc.array(
      fc.array(
        fc.record({
          name: fc.constantFrom('a', 'b', 'c', 'd'),
          value: fc.integer(),
          isDeleted: fc.boolean(),
        }),
        {maxLength: 4},
      ),
      {maxLength: 20},
    );
    fc.assert(
      fc.property(reads, fc.nat({max: 20}), (all, joinsAt) => {
        const ownLog = new ChangeLog({clock});
        const naive = new Map<string, unknown>();
        const follower = new Map<string, unknown>();
        ownLog.startReading(0);
        all.forEach((changes, i) => {
          if (i <= joinsAt) apply(follower, changes);
          apply(naive, changes);
          const revision = i + 1;
          ownLog.append({changes, revision, currentAtMs: 0});
        });
        const since = Math.min(joinsAt + 1, all.length);
        apply(follower, ownLog.changesSince(since));
        expect(new Map([...follower].sort())).toEqual(
          new Map([...naive].sort()),
        );
      }),
    );
  });
});

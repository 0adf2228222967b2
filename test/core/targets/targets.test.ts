import {beforeEach, describe, expect, it} from 'vitest';

import {ManualClock} from '../../../src/core/clock/index.js';
import type {TargetRecord} from '../../../src/core/targets/index.js';
import {Target, TargetSet} from '../../../src/core/targets/index.js';

const GRACE_MS = 2_000;

/** A list without an outage before it. */
const IN_TOUCH = {afterOutage: false, isRestored: false};

const RESTORED = {afterOutage: true, isRestored: true};

function record(fields: Partial<TargetRecord> = {}): TargetRecord {
  return {
    id: 'i-1',
    service: 's',
    address: '127.0.0.1:1',
    dataCentre: 'a',
    slots: 4,
    isDraining: false,
    startedAtMs: 1,
    ...fields,
  };
}

const sourceItem = (value?: TargetRecord, name = 'i-1') => ({name, value});

describe('TargetSet', () => {
  let clock: ManualClock;
  let removed: string[];
  let targets: TargetSet;

  beforeEach(() => {
    clock = new ManualClock();
    removed = [];
    targets = new TargetSet({
      clock,
      onRemoved: (target) => removed.push(target.id),
    });
    targets.replaceAll([sourceItem(record())], IN_TOUCH);
  });

  const usableIds = () => targets.ofService('s').map((target) => target.id);

  const applyChange = (value?: TargetRecord, isDeleted = false) =>
    targets.applyChanges([{name: 'i-1', value, isDeleted}]);

  it.each([
    {name: 'drains', value: record({isDraining: true}), isDeleted: false},
    {name: 'is deleted', value: undefined, isDeleted: true},
    {name: 'can no longer be decoded', value: undefined, isDeleted: false},
  ])('gives no work to a target that $name', ({value, isDeleted}) => {
    applyChange(value, isDeleted);
    expect(usableIds()).toEqual([]);
    expect(removed).toEqual(['i-1']);
  });

  it('resets the state of a target that restarts under the same id', () => {
    const [before] = targets.ofService('s');
    before!.begin({tokens: 9});
    applyChange(record({startedAtMs: 2}));
    const [after] = targets.ofService('s');
    expect(after).not.toBe(before);
    expect(after!.running).toBe(0);
    expect(removed).toEqual(['i-1']);
  });

  it('keeps the event gap of an address over restarts', () => {
    const [before] = targets.ofService('s');
    for (let i = 0; i < 6; i++) before!.recordEventGap(40);
    applyChange(record({startedAtMs: 2}));
    expect(targets.ofService('s')[0]!.eventGapMs).toBeCloseTo(40);
  });

  it.each([
    {afterOutage: false, waitMs: 0, expected: []},
    {afterOutage: true, waitMs: GRACE_MS - 1, expected: ['i-1']},
    {afterOutage: true, waitMs: GRACE_MS, expected: []},
  ])(
    'lists $expected if unregistered for $waitMs ms, after an outage: $afterOutage',
    ({afterOutage, waitMs, expected}) => {
      targets.replaceAll([], {afterOutage, isRestored: false});
      clock.advance(waitMs);
      expect(usableIds()).toEqual(expected);
    },
  );

  it.each([
    {
      name: 'keeps a draining target out',
      gone: record({isDraining: true, writeCount: 9}),
      then: undefined,
      expected: [],
    },
    {
      name: 'keeps a target out that had left',
      gone: undefined,
      then: undefined,
      expected: [],
    },
    {
      name: 'keeps it out while it writes nothing',
      gone: undefined,
      then: record({writeCount: 3}),
      expected: [],
    },
    {
      name: 'uses it once it has written again',
      gone: undefined,
      then: record({writeCount: 4}),
      expected: ['i-1'],
    },
    {
      name: 'uses another incarnation',
      gone: undefined,
      then: record({startedAtMs: 2}),
      expected: ['i-1'],
    },
  ])('of a restored store, $name', ({gone, then, expected}) => {
    applyChange(gone, gone === undefined);
    targets.replaceAll([sourceItem(record({writeCount: 3}))], RESTORED);
    expect(usableIds()).toEqual([]);
    expect(targets.hasStale).toBe(true);
    if (then !== undefined) targets.replaceAll([sourceItem(then)], IN_TOUCH);
    expect(usableIds()).toEqual(expected);
    targets.replaceAll([], IN_TOUCH);
    expect(targets.hasStale).toBe(false);
  });

  it('uses a target whose registration changes after a restore', () => {
    applyChange(undefined, true);
    targets.replaceAll([sourceItem(record())], RESTORED);
    applyChange(record());
    expect(usableIds()).toEqual(['i-1']);
  });

  it('keeps a target that registers again in time', () => {
    targets.replaceAll([], {afterOutage: true, isRestored: false});
    clock.advance(GRACE_MS / 2);
    applyChange(record());
    clock.advance(GRACE_MS);
    expect(usableIds()).toEqual(['i-1']);
  });
});

describe('Target', () => {
  let clock: ManualClock;
  let target: Target;
  let pauses: number[];

  beforeEach(() => {
    clock = new ManualClock();
    pauses = [];
    target = new Target({
      record: record(),
      clock,
      onPaused: (_, pauseMs) => pauses.push(pauseMs),
    });
  });

  it('doubles each pause up to a limit until the target responds', () => {
    for (let i = 0; i < 5; i++) {
      target.pause();
      expect(target.isPaused()).toBe(true);
      clock.advance(pauses.at(-1)!);
      expect(target.isPaused()).toBe(false);
    }
    expect(pauses).toEqual([600, 1_200, 2_400, 4_000, 4_000]);
    target.recordSuccess();
    target.pause();
    expect(pauses.at(-1)).toBe(600);
  });

  it('counts the work of other entries by reports and its own immediately', () => {
    target.begin({tokens: 1});
    clock.advance(300);
    target.recordLoad({running: 3, waiting: 1, prefilling: 1}, 200);
    expect(target.estimatedRequests()).toBe(4);
    target.begin({tokens: 1});
    expect(target.estimatedRequests()).toBe(5);
    expect(target.estimatedPrefills()).toBe(3);
    clock.advance(1_001);
    expect(target.estimatedRequests()).toBe(2);
  });

  it('plans KV cache for work that a report does not include yet', () => {
    clock.advance(1_000);
    target.recordLoad({running: 0, waiting: 0, kvUsedTokens: 10_000}, 200);
    target.begin({tokens: 6_000});
    target.addKvCopy(1_000);
    expect(target.plannedTokens()).toBe(16_000);
  });
});

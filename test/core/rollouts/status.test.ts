/** Who writes the status of a roll-out, and what; which versions are held back. */
import {beforeEach, describe, expect, it} from 'vitest';

import {ManualClock} from '../../../src/core/clock/index.js';
import type {
  EvidenceRow,
  RolloutRecord,
  RolloutStatus,
} from '../../../src/core/rollouts/index.js';
import {
  BadReason,
  decideStatus,
  EVIDENCE_ROW,
  writerRank,
  RolloutController,
  RolloutState,
  RolloutStep,
  VersionBaseline,
} from '../../../src/core/rollouts/index.js';

const RECORD: RolloutRecord = {
  id: 'o1',
  service: 'desk',
  target: 'v2',
  durationMs: 30_000,
  revision: 7,
};

const FULL = {
  record: RECORD,
  isBad: false,
  isInUse: false,
  ageMs: 20_000,
  step: RolloutStep.FULL,
  stepMs: 2_000,
  oldOpen: 0,
  knowsOthers: true,
  others: [] as EvidenceRow[],
};

/** An order for the version that a running order was about to replace. */
const WAY_BACK = {isInUse: true, isWayBack: true, step: RolloutStep.CANARY};

const rowOf = (fields: Partial<EvidenceRow>): EvidenceRow => ({
  service: 'desk',
  order: 'o1',
  vm: 'edge-2',
  tick: 1,
  ageMs: 20_000,
  step: RolloutStep.FULL,
  oldOpen: 0,
  cells: [],
  ...fields,
});

const withStatus = (status: RolloutStatus): RolloutRecord => ({
  ...RECORD,
  status,
});

const {COMPLETED, IN_PROGRESS, ROLLED_BACK} = RolloutState;

describe('the status of a roll-out', () => {
  it.each([
    {
      name: 'begun',
      known: {...FULL, step: RolloutStep.CANARY},
      is: IN_PROGRESS,
    },
    {name: 'moved', known: FULL, is: COMPLETED},
    {name: 'found bad', known: {...FULL, isBad: true}, is: ROLLED_BACK},
    {
      name: 'with requests at old targets',
      known: {
        ...FULL,
        record: withStatus({state: IN_PROGRESS, target: 'v2'}),
        oldOpen: 1,
      },
      is: undefined,
    },
    {
      name: 'with such requests late',
      known: {...FULL, oldOpen: 1, ageMs: 29_000},
      is: COMPLETED,
    },
    {
      name: 'with requests of another entry',
      known: {
        ...FULL,
        record: withStatus({state: IN_PROGRESS, target: 'v2'}),
        others: [rowOf({oldOpen: 3})],
      },
      is: undefined,
    },
    {
      name: 'with an entry behind, however late',
      known: {
        ...FULL,
        record: withStatus({state: IN_PROGRESS, target: 'v2'}),
        ageMs: 29_000,
        others: [rowOf({step: RolloutStep.HALF})],
      },
      is: undefined,
    },
    {
      name: 'completed, and then found bad',
      known: {
        ...FULL,
        record: withStatus({state: COMPLETED, target: 'v2'}),
        isBad: true,
      },
      is: undefined,
    },
    {
      name: 'rolled back',
      known: {...FULL, record: withStatus({state: ROLLED_BACK, target: 'v2'})},
      is: undefined,
    },
    {
      name: 'whose status is of an earlier order',
      known: {
        ...FULL,
        step: RolloutStep.CANARY,
        record: withStatus({state: COMPLETED, target: 'v1'}),
      },
      is: IN_PROGRESS,
    },
    {
      name: 'in use, with requests at the version that it turns back',
      known: {
        ...FULL,
        record: withStatus({state: IN_PROGRESS, target: 'v2'}),
        ...WAY_BACK,
        others: [rowOf({oldOpen: 3, step: RolloutStep.CANARY})],
      },
      is: undefined,
    },
    {
      name: 'in use, with such requests late',
      known: {...FULL, ...WAY_BACK, oldOpen: 1, ageMs: 29_000},
      is: COMPLETED,
    },
    {
      name: 'in use, with none',
      known: {
        ...FULL,
        ...WAY_BACK,
        others: [rowOf({step: RolloutStep.CANARY, isWayBack: true})],
      },
      is: COMPLETED,
    },
    {
      name: 'in use, with an entry that has not turned back',
      known: {
        ...FULL,
        record: withStatus({state: IN_PROGRESS, target: 'v2'}),
        ...WAY_BACK,
        others: [rowOf({step: RolloutStep.CANARY})],
      },
      is: undefined,
    },
    {
      name: 'in use, with entries that were not heard',
      known: {
        ...FULL,
        ...WAY_BACK,
        record: withStatus({state: IN_PROGRESS, target: 'v2'}),
        knowsOthers: false,
      },
      is: undefined,
    },
  ])('of an order $name', ({known, is}) => {
    expect(decideStatus(known)).toBe(is);
  });

  it('is written by one of the live entries', () => {
    const vms = ['edge-1', 'edge-2', 'edge-3'];
    for (const order of ['o1', 'o2', 'o3', 'o4']) {
      const rankOf = (vm: string, live: string[]) =>
        writerRank({order, vm, live});
      const writers = vms.filter((vm) => rankOf(vm, vms) === 0);
      expect(writers.length).toBe(1);
      const rest = vms.filter((vm) => vm !== writers[0]);
      const next = rest.filter((vm) => rankOf(vm, rest) === 0);
      expect(next.length).toBe(1);
    }
  });

  it('is written for the revision of a store that was restored', () => {
    const clock = new ManualClock();
    const settings = {exposureShare: 0.1, exposureSlack: 0, rollbackMs: 5_000};
    const vm = 'edge-1';
    const order = {record: RECORD, vm, settings, clock};
    const controller = new RolloutController(order);
    controller.updateRecord({...RECORD, revision: 3});
    expect(controller.record.revision).toBe(7);
    controller.updateRecord({...RECORD, revision: 3}, {isRestored: true});
    expect(controller.record.revision).toBe(3);
  });

  it('is not written for an order that another one has replaced', () => {
    const clock = new ManualClock();
    const settings = {exposureShare: 0.1, exposureSlack: 0, rollbackMs: 5_000};
    const vm = 'edge-1';
    const late = new RolloutController({record: RECORD, vm, settings, clock});
    late.hear(rowOf({order: 'o2', bad: BadReason.SLOW}));
    expect(late.bad).toBeUndefined();
    late.hear(rowOf({bad: BadReason.SLOW}));
    expect(late.bad).toBe(BadReason.SLOW);
    expect(late.maySendToNew()).toBe(false);
  });
});

describe('a version that an earlier order found bad', () => {
  const settings = {exposureShare: 0.1, exposureSlack: 0, rollbackMs: 5_000};

  it('is known to a process that starts later', () => {
    const clock = new ManualClock();
    const order = {record: RECORD, settings, clock};
    const barred = new Set(['v1-bad']);
    const early = new RolloutController({...order, vm: 'edge-2', barred});
    const late = new RolloutController({...order, vm: 'edge-1'});
    expect(late.isUninformed).toBe(true);
    const written = EVIDENCE_ROW.encode({
      ...early.row(0),
      bad: undefined,
      isWayBack: undefined,
      barred: [...(early.row(0).barred ?? [])],
      cells: [],
    });
    const text = JSON.stringify(written);
    const row = EVIDENCE_ROW.decode(JSON.parse(text)).unsafeCoerce();
    late.hear(row);
    late.recordRead(clock.now());
    expect(late.isUninformed).toBe(false);
    expect([...late.barred]).toEqual(['v1-bad']);
    expect(late.row(0).barred).toEqual(['v1-bad']);
  });

  it('is not barred by its own order', () => {
    const clock = new ManualClock();
    const order = {record: RECORD, settings, clock};
    const again = new RolloutController({...order, vm: 'edge-1'});
    again.hear(rowOf({barred: ['v2', 'v0']}));
    expect([...again.barred]).toEqual(['v0']);
  });
});

describe('an entry that returns from a pause', () => {
  it('sends nothing to the version before it has read again', () => {
    const clock = new ManualClock();
    const settings = {exposureShare: 0.1, exposureSlack: 50, rollbackMs: 5_000};
    const vm = 'edge-1';
    const entries = () => [vm];
    const order = {record: RECORD, vm, settings, entries, clock};
    const controller = new RolloutController(order);
    controller.recordRead(clock.now());
    expect(controller.maySendToNew()).toBe(true);
    clock.advance(6_000);
    expect(controller.maySendToNew()).toBe(false);
    expect(controller.allowed()).toEqual({old: true, new: false});
    controller.recordRead(clock.now());
    expect(controller.maySendToNew()).toBe(true);
  });
});

describe('an entry among others', () => {
  const STEP_MS = 100;
  const settings = {exposureShare: 0.1, exposureSlack: 0, rollbackMs: 5_000};
  let clock: ManualClock;
  let controller: RolloutController;

  beforeEach(() => {
    clock = new ManualClock();
    const vm = 'edge-1';
    const entries = () => [vm, 'edge-2'];
    const order = {record: RECORD, vm, settings, entries, clock};
    controller = new RolloutController(order);
  });

  /** Milliseconds until it writes that the order is completed. */
  const completesAfter = (): number => {
    for (let ms = 0; ms < 10_000; ms += STEP_MS) {
      controller.recordRead(clock.now());
      controller.update({newTargets: 3});
      if (controller.stateToWrite(0) === COMPLETED) return ms;
      clock.advance(STEP_MS);
    }
    return Number.POSITIVE_INFINITY;
  };

  // Guards against old targets that stop under entries that start (LOST).
  it('does not take the rows of ended processes for those of live ones', () => {
    clock.advance(STEP_MS);
    controller.hear(rowOf({}));
    expect(completesAfter()).toBeGreaterThanOrEqual(3_000);
  });

  it('need not wait for one that tells something', () => {
    controller.hear(rowOf({}));
    controller.recordRead(clock.now());
    clock.advance(STEP_MS);
    controller.hear(rowOf({tick: 2}));
    expect(completesAfter()).toBeLessThan(2_500);
  });

  it('tells with old evidence that it may send to old targets', () => {
    controller.recordRead(clock.now());
    expect(controller.row(0).oldOpen).toBe(0);
    clock.advance(6_000);
    expect(controller.row(0).oldOpen).toBe(1);
  });
});

describe('a version without an order', () => {
  const held = (
    baseline: VersionBaseline,
    versions: string[],
    nowMs: number,
    ordersKnownAtMs?: number,
  ) => [
    ...baseline.held({
      service: 'desk',
      versions: new Set(versions),
      nowMs,
      ordersKnownAtMs,
    }),
  ];

  it('is used if it was there from the begin', () => {
    const baseline = new VersionBaseline();
    expect(held(baseline, ['v1'], 0)).toEqual([]);
    expect(held(baseline, ['v1'], 10, 5)).toEqual([]);
  });

  it('is held back until the orders are known as of later', () => {
    const baseline = new VersionBaseline();
    held(baseline, ['v1'], 0, 0);
    expect(held(baseline, ['v1', 'v2'], 100, 50)).toEqual(['v2']);
    expect(held(baseline, ['v1', 'v2'], 200, 90)).toEqual(['v2']);
    expect(held(baseline, ['v1', 'v2'], 300, 101)).toEqual([]);
  });

  it('is held back for 2 s at most while no order can be read', () => {
    const baseline = new VersionBaseline();
    held(baseline, ['v1'], 0, 0);
    expect(held(baseline, ['v1', 'v2'], 100)).toEqual(['v2']);
    expect(held(baseline, ['v1', 'v2'], 2_100)).toEqual([]);
    const started = new VersionBaseline();
    expect(held(started, ['v1', 'v2'], 0)).toEqual(['v1', 'v2']);
    expect(held(started, ['v1', 'v2'], 2_000)).toEqual([]);
  });

  it('is not new to a service that had no targets', () => {
    const baseline = new VersionBaseline();
    held(baseline, [], 0, 0);
    expect(held(baseline, ['v1'], 100, 50)).toEqual([]);
  });

  it('cannot be told from others before the orders are known', () => {
    const baseline = new VersionBaseline();
    expect(held(baseline, ['v1', 'v2'], 0)).toEqual(['v1', 'v2']);
    expect(held(baseline, ['v1', 'v2'], 10, 5)).toEqual([]);
  });
});

/** Orders for a version that is in use. */
import {describe, expect, it} from 'vitest';

import {ManualClock} from '../../../src/core/clock/index.js';
import type {
  EvidenceRow,
  RolloutRecord,
} from '../../../src/core/rollouts/index.js';
import {
  BadReason,
  PriorUse,
  RolloutController,
  RolloutState,
  RolloutStep,
} from '../../../src/core/rollouts/index.js';

const RECORD: RolloutRecord = {
  id: 'o1',
  service: 'desk',
  target: 'v2',
  durationMs: 30_000,
  revision: 7,
};

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

const {COMPLETED, IN_PROGRESS, ROLLED_BACK} = RolloutState;

describe('an order for a version that is in use', () => {
  const settings = {exposureShare: 0.1, exposureSlack: 0, rollbackMs: 5_000};
  const OLD_CELL = {
    isNew: false,
    route: '/a/',
    dataCentre: 'a',
    target: '',
    answers: 3,
    failures: 0,
    lost: 0,
    timed: 0,
    slow: 0,
  };

  it.each([
    {name: 'is completed at once', priorUse: PriorUse.USED, is: COMPLETED},
    {name: 'is completed if the rows tell no old version', is: COMPLETED},
    {name: 'is not if they were not read', hasRead: false, is: IN_PROGRESS},
    {
      name: 'is not if they tell an old version',
      rows: [rowOf({step: RolloutStep.CANARY, cells: [OLD_CELL]})],
      is: IN_PROGRESS,
    },
    {
      name: 'is not if an earlier process of the VM tells one',
      rows: [rowOf({vm: 'edge-1', cells: [OLD_CELL]})],
      is: IN_PROGRESS,
    },
    {
      name: 'is not if other versions had the traffic',
      priorUse: PriorUse.OTHERS,
      is: IN_PROGRESS,
    },
    {
      name: 'is not with targets of another version',
      priorUse: PriorUse.USED,
      hasOthers: true,
      is: IN_PROGRESS,
    },
    {
      name: 'is not if it is found bad meanwhile',
      priorUse: PriorUse.USED,
      rows: [rowOf({bad: BadReason.SLOW})],
      is: ROLLED_BACK,
    },
    {
      name: 'is not if a row tells of a bad version that a process cannot tell',
      rows: [rowOf({barred: ['v1'], step: RolloutStep.CANARY})],
      is: IN_PROGRESS,
    },
    {
      name: 'is completed at a process that knows better than such a row',
      priorUse: PriorUse.USED,
      rows: [rowOf({barred: ['v1'], step: RolloutStep.CANARY})],
      is: COMPLETED,
    },
    {
      name: 'is not without targets',
      priorUse: PriorUse.USED,
      targets: 0,
      is: IN_PROGRESS,
    },
  ])(
    '$name',
    ({
      priorUse,
      hasRead = true,
      rows = [],
      hasOthers = false,
      targets = 4,
      is,
    }) => {
      const clock = new ManualClock();
      const vm = 'edge-1';
      const order = {record: RECORD, vm, settings, priorUse, clock};
      const controller = new RolloutController(order);
      for (const row of rows) controller.hear(row);
      if (hasRead) controller.recordRead(clock.now());
      controller.observe({targets, hasOthers});
      clock.advance(2_000);
      controller.update({newTargets: targets});
      controller.stateToWrite(0);
      // The turn of the other entry, if there is one.
      clock.advance(900);
      expect(controller.stateToWrite(0)).toBe(is);
      const mayServe = is === COMPLETED;
      expect(controller.maySendToNew()).toBe(mayServe);
      expect(controller.allowed().old).toBe(!mayServe);
    },
  );

  it('is known to a process that starts after a way back began', () => {
    const clock = new ManualClock();
    const order = {record: RECORD, settings, clock};
    const barred = new Set(['v3']);
    const back = {...order, vm: 'edge-2', barred, isWayBack: true};
    const early = new RolloutController({...back, priorUse: PriorUse.USED});
    const late = new RolloutController({...order, vm: 'edge-1'});
    late.hear(early.row(0));
    late.recordRead(clock.now());
    expect(late.observe({targets: 4, hasOthers: false})).toBe(true);
    expect(late.end).toBe(COMPLETED);
    expect(late.row(0)).toMatchObject({isWayBack: true, barred: ['v3']});
  });

  it('is told to an entry that has missed the order that is turned back', () => {
    const clock = new ManualClock();
    const priorUse = PriorUse.USED;
    const order = {record: RECORD, settings, clock, vm: 'edge-1', priorUse};
    const missed = new RolloutController(order);
    missed.hear(rowOf({isWayBack: true, barred: ['v3'], cells: [OLD_CELL]}));
    missed.recordRead(clock.now());
    missed.observe({targets: 4, hasOthers: false});
    expect(missed.end).toBe(COMPLETED);
    expect(missed.row(0)).toMatchObject({isWayBack: true, barred: ['v3']});
  });
});

/** Which versions of a service get requests where bars and rows are in doubt. */
import {beforeEach, describe, expect, it} from 'vitest';

import {ManualClock} from '../../src/core/clock/index.js';
import type {EvidenceRow} from '../../src/core/rollouts/index.js';
import {
  BadReason,
  PriorUse,
  RolloutStep,
} from '../../src/core/rollouts/index.js';
import {Target} from '../../src/core/targets/index.js';
import {Rollout} from '../../src/direct/rollouts/rollout.js';

const RECORD = {
  id: 'o1',
  service: 'desk',
  target: 'v3',
  durationMs: 30_000,
  revision: 1,
};

const ROW: EvidenceRow = {
  service: 'desk',
  order: 'o1',
  vm: 'edge-2',
  tick: 1,
  ageMs: 100,
  step: RolloutStep.CANARY,
  oldOpen: 0,
  cells: [],
};

describe('an order at an entry', () => {
  let clock: ManualClock;

  beforeEach(() => (clock = new ManualClock()));

  const targetsOf = (versions: readonly string[]) =>
    versions.map((version, i) => {
      const id = `i-${i}`;
      const place = {service: 'desk', address: `127.0.0.1:${i}`};
      const more = {dataCentre: 'a', slots: 4, isDraining: false, version};
      return new Target({record: {id, ...place, ...more}, clock});
    });

  const begin = (options: {barred?: string[]; priorUse?: PriorUse} = {}) => {
    const {barred = [], priorUse} = options;
    const settings = {exposureShare: 0.1, exposureSlack: 0, rollbackMs: 5_000};
    const order = {record: RECORD, vm: 'edge-1', settings, priorUse, clock};
    return new Rollout({...order, barred: new Set(barred)});
  };

  const versionsOf = (targets: readonly Target[]) =>
    targets.map(({record}) => record.version);

  const {OTHERS, UNKNOWN, USED} = PriorUse;

  it.each([
    {name: 'a bar', there: ['v1', 'v2', 'v3'], barred: ['v2'], get: ['v1']},
    {name: 'a bar on all old ones', there: ['v2', 'v3'], barred: ['v2']},
    {name: 'a bar on the only one', there: ['v2'], barred: ['v2']},
    {
      name: 'bars on each old one',
      there: ['v1', 'v2', 'v3'],
      barred: ['v1', 'v2'],
      get: ['v1', 'v2'],
    },
  ])('keeps old versions despite $name', ({there, barred, get = ['v2']}) => {
    const rollout = begin({barred, priorUse: OTHERS});
    const targets = targetsOf(there);
    rollout.refreshOpen(targets);
    expect(versionsOf(rollout.admit(targets))).toEqual(get);
  });

  it.each([
    {priorUse: UNKNOWN, barred: ['v2'], get: ['v1']},
    {priorUse: USED, barred: [], get: ['v1', 'v2']},
    {priorUse: OTHERS, barred: [], get: ['v1', 'v2']},
  ])('believes a bar of others where its use is $priorUse', (row) => {
    const {priorUse, barred, get} = row;
    const rollout = begin({priorUse});
    rollout.controller.hear({...ROW, barred: ['v2']});
    rollout.controller.recordRead(clock.now());
    const targets = targetsOf(['v1', 'v2', 'v3']);
    rollout.refreshOpen(targets);
    expect([...rollout.controller.barred]).toEqual(barred);
    expect(versionsOf(rollout.admit(targets))).toEqual(get);
  });

  it.each([
    {waitMs: 0, there: ['v1', 'v2'], get: []},
    {waitMs: 1_900, there: ['v1', 'v2'], get: []},
    {waitMs: 2_000, there: ['v1', 'v2'], get: ['v1', 'v2']},
    {waitMs: 0, there: ['v1', 'v1'], get: ['v1', 'v1']},
    {waitMs: 0, there: ['v1', 'v2'], isRead: true, get: ['v1', 'v2']},
    {waitMs: 0, there: ['v1', 'v2'], priorUse: USED, get: ['v1', 'v2']},
  ])('uses $get after $waitMs ms, read: $isRead, use: $priorUse', (row) => {
    const {waitMs, there, isRead = false, priorUse = UNKNOWN, get} = row;
    const rollout = begin({priorUse});
    const targets = targetsOf([...there, 'v3']);
    if (isRead) rollout.controller.recordRead(clock.now());
    clock.advance(waitMs);
    expect(versionsOf(rollout.admit(targets))).toEqual(get);
  });

  it.each([
    {name: 'bad at others', row: {bad: BadReason.FAILURES}, isInUse: false},
    {name: 'in doubt', row: {barred: ['v2']}, isInUse: false},
    {name: 'bad in use', row: {bad: BadReason.LOST}, use: USED, isInUse: true},
    {name: 'in use', row: {}, isInUse: true},
  ])('sends to a version alone that is $name as it should', (options) => {
    const {row, use, isInUse} = options;
    const rollout = begin({priorUse: use});
    rollout.controller.hear({...ROW, ...row});
    rollout.controller.recordRead(clock.now());
    const targets = targetsOf(['v3', 'v3']);
    rollout.refreshOpen(targets);
    expect(rollout.observe(targets)).toBe(isInUse);
    const serves = isInUse && !('bad' in row);
    expect(rollout.mayUseNew).toBe(serves);
    expect(rollout.admit(targets).length).toBe(serves ? 2 : 0);
  });
});

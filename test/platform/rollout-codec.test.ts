/** Orders of roll-outs as the platform stores them. */
import {describe, expect, it} from 'vitest';

import {parseBootSettings} from '../../platform/boot-settings.js';
import {
  decodeEvidenceRow,
  decodeRollout,
  encodeEvidenceRow,
  encodeRolloutStatus,
} from '../../platform/rollout-codec.js';
import {
  BadReason,
  RolloutState,
  RolloutStep,
} from '../../src/core/rollouts/index.js';

const SPEC = {service: 'desk', target: 'v2', duration_s: 30};
const METADATA = {name: 'desk', revision: 41, created: 7};

describe('an order of a roll-out', () => {
  it('is decoded with its status', () => {
    const status = {state: 'in_progress', target: 'v2', more: 1};
    const record = decodeRollout('desk', {
      metadata: METADATA,
      spec: SPEC,
      status,
    }).extract();
    expect(record).toMatchObject({
      service: 'desk',
      target: 'v2',
      durationMs: 30_000,
      revision: 41,
      status: {state: RolloutState.IN_PROGRESS, target: 'v2'},
    });
  });

  it.each([
    {name: 'no object', object: 7},
    {name: 'no target', object: {metadata: METADATA, spec: {service: 'desk'}}},
    {
      name: 'no time',
      object: {metadata: METADATA, spec: {...SPEC, duration_s: 0}},
    },
    {
      name: 'a time without end',
      object: {metadata: METADATA, spec: {...SPEC, duration_s: Infinity}},
    },
    {
      name: 'another service',
      object: {metadata: METADATA, spec: {...SPEC, service: 'other'}},
    },
    {name: 'no revision', object: {metadata: {name: 'desk'}, spec: SPEC}},
  ])('with $name is none', ({object}) => {
    expect(decodeRollout('desk', object).isNothing()).toBe(true);
  });

  it.each([null, undefined, 'done', {state: 'odd', target: 'v2'}])(
    'counts as without status with %j',
    (status) => {
      const object = {metadata: METADATA, spec: SPEC, status};
      const record = decodeRollout('desk', object).extract();
      expect(record?.status).toBeUndefined();
    },
  );

  it.each([
    [RolloutState.IN_PROGRESS, 'in_progress'],
    [RolloutState.COMPLETED, 'completed'],
    [RolloutState.ROLLED_BACK, 'rolled_back'],
  ])('has the status %s written as %s', (state, name) => {
    const status = encodeRolloutStatus({state, target: 'v2'});
    expect(status).toEqual({state: name, target: 'v2'});
  });
});

describe('what an entry tells of a roll-out', () => {
  const cell = {
    isNew: true,
    route: '/a|b',
    dataCentre: 'a',
    target: 'i-1',
    answers: 7,
    failures: 1,
    lost: 0,
    timed: 6,
    slow: 2,
  };
  const row = {
    service: 'desk',
    order: 'o1',
    vm: 'edge-1',
    tick: 3,
    ageMs: 1_200,
    step: RolloutStep.LOADED,
    bad: BadReason.SLOW,
    oldOpen: 4,
    cells: [cell, {...cell, isNew: false, target: ''}],
  };

  it.each([row, {...row, bad: undefined}, {...row, cells: []}])(
    'is read as it was written',
    (written) => {
      const text = JSON.stringify(encodeEvidenceRow(written));
      const read = decodeEvidenceRow('desk.edge-1', JSON.parse(text));
      expect(read.extract()).toEqual(written);
    },
  );

  it.each(['', 'a\tb', '1\t/a\ta\ti\t7\tx\t0\t0\t0', 7, null])(
    'is none with the cell %j',
    (odd) => {
      const spec = {...row, cells: [odd]};
      expect(decodeEvidenceRow('desk.edge-1', spec).isNothing()).toBe(true);
    },
  );
});

describe('settings', () => {
  const text = (contracts: string[]) =>
    JSON.stringify({
      node_name: 'edge-1',
      ip: '10.0.0.1',
      zone: 'a',
      contracts,
      listen: {frontend: '10.0.0.1:80', readiness: '10.0.0.1:81'},
      bounds: {grace_s: 8, exposure_share: 0.2, rollback_ms: 4_000},
      platform: {address: '10.0.0.2:82'},
    });

  it('hold the bounds of roll-outs where these are ordered', () => {
    const settings = parseBootSettings(text(['base', 'rollout']));
    expect(settings._unsafeUnwrap().rollout).toEqual({
      exposureShare: 0.2,
      exposureSlack: 0,
      rollbackMs: 4_000,
    });
  });

  it('hold none elsewhere', () => {
    const settings = parseBootSettings(text(['base']));
    expect(settings._unsafeUnwrap().rollout).toBeUndefined();
  });
});

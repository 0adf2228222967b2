/** What keeps an entry from being ready. */
import {describe, expect, it} from 'vitest';

import {ManualClock} from '../../src/core/clock/index.js';
import {STARTUP_WAIT_MS} from '../../src/direct/consts.js';
import type {LoadedState} from '../../src/direct/readiness.js';
import {Readiness} from '../../src/direct/readiness.js';
import {Need} from '../../src/direct/readiness-log.js';

const ALL_LOADED: LoadedState = {
  hasConfig: true,
  hasTargets: true,
  hasOrders: true,
  hasLosses: true,
  areKeysTrusted: true,
};

describe('Readiness', () => {
  it.each([
    {lacks: {}, at: [], later: []},
    {
      lacks: {hasConfig: false},
      at: [Need.CONFIGURATION],
      later: [Need.CONFIGURATION],
    },
    {lacks: {hasTargets: false}, at: [Need.TARGETS], later: [Need.TARGETS]},
    {
      lacks: {areKeysTrusted: false},
      at: [Need.KEY_CONFIRMATION],
      later: [Need.KEY_CONFIRMATION],
    },
    {lacks: {hasOrders: false}, at: [Need.ROLLOUTS], later: []},
    {lacks: {hasLosses: false}, at: [Need.LOSSES], later: []},
  ])('lacks $lacks: needs $at, and later $later', ({lacks, at, later}) => {
    const clock = new ManualClock();
    const loaded = () => ({...ALL_LOADED, ...lacks});
    const readiness = new Readiness({clock, loaded});
    readiness.start();
    clock.advance(STARTUP_WAIT_MS);
    expect(readiness.missing()).toEqual(at);
    clock.advance(1);
    expect(readiness.missing()).toEqual(later);
  });
});

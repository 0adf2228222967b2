import {beforeEach, describe, expect, it} from 'vitest';

import {ManualClock} from '../../../src/core/clock/index.js';
import type {ToldEpoch} from '../../../src/core/sync/index.js';
import {
  ConfirmationFilter,
  RESTORE_SETTLE_MS,
} from '../../../src/core/sync/index.js';

interface FilterRow {
  readonly name: string;
  /** Version that the store holds after it was restored. */
  readonly restored?: number;
  readonly isRestored?: boolean;
  readonly waitMs: number;
  readonly told?: ToldEpoch;
  /** True by default. */
  readonly hasAsked?: boolean;
  readonly active: number;
  readonly accepted: boolean;
}

describe('ConfirmationFilter', () => {
  let clock: ManualClock;
  let filter: ConfirmationFilter;

  beforeEach(() => {
    clock = new ManualClock();
    filter = new ConfirmationFilter({clock});
    filter.recordStored(7);
  });

  it.each<FilterRow>([
    {name: 'of the active version', waitMs: 0, active: 7, accepted: true},
    {
      name: 'of the active version, soon after a restore',
      restored: 7,
      waitMs: RESTORE_SETTLE_MS - 1,
      active: 7,
      accepted: false,
    },
    {
      name: 'of the active version, later',
      restored: 7,
      waitMs: RESTORE_SETTLE_MS,
      active: 7,
      accepted: true,
    },
    {
      name: 'of an older version',
      restored: 6,
      waitMs: RESTORE_SETTLE_MS,
      active: 7,
      accepted: false,
    },
    {
      name: 'of no version',
      restored: undefined,
      isRestored: true,
      waitMs: RESTORE_SETTLE_MS,
      active: 7,
      accepted: false,
    },
    {
      name: 'soon after a restore that has settled, as others tell',
      restored: 7,
      waitMs: 0,
      told: {version: 7, isSettled: true},
      hasAsked: false,
      active: 7,
      accepted: true,
    },
    {
      name: 'later, before others were asked',
      restored: 7,
      waitMs: RESTORE_SETTLE_MS,
      hasAsked: false,
      active: 7,
      accepted: false,
    },
    {
      name: 'later, while others tell of a newer version',
      restored: 7,
      waitMs: RESTORE_SETTLE_MS,
      told: {version: 9, isSettled: false},
      active: 7,
      accepted: false,
    },
    {
      name: 'of a settled epoch that lacks a newer version',
      restored: 7,
      waitMs: RESTORE_SETTLE_MS,
      told: {version: 9, isSettled: true},
      active: 7,
      accepted: false,
    },
  ])('accepts a confirmation $name: $accepted', (row) => {
    const {restored, isRestored, waitMs, active, accepted} = row;
    const {told, hasAsked = true} = row;
    if (restored !== undefined || isRestored === true) filter.recordRestored();
    if (restored !== undefined) filter.recordStored(restored);
    clock.advance(waitMs);
    if (told !== undefined) filter.recordTold(told);
    if (hasAsked) filter.recordAsked();
    const atMs = clock.now();
    const confirmation = {atMs, startedMs: atMs};
    const query = {confirmation, knownVersion: active};
    expect(filter.accepts(query)).toBe(accepted);
  });
});

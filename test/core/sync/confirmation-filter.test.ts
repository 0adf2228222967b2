import {beforeEach, describe, expect, it} from 'vitest';

import {ManualClock} from '../../../src/core/clock/index.js';
import {
  ConfirmationFilter,
  RESTORE_SETTLE_MS,
} from '../../../src/core/sync/index.js';

describe('ConfirmationFilter', () => {
  let clock: ManualClock;
  let filter: ConfirmationFilter;

  beforeEach(() => {
    clock = new ManualClock();
    filter = new ConfirmationFilter({clock});
    filter.recordStored(7);
  });

  it.each([
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
  ])('accepts a confirmation $name: $accepted', (row) => {
    const {restored, isRestored, waitMs, active, accepted} = row;
    if (restored !== undefined || isRestored === true) filter.recordRestored();
    if (restored !== undefined) filter.recordStored(restored);
    clock.advance(waitMs);
    const atMs = clock.now();
    const confirmation = {atMs, startedMs: atMs};
    const query = {confirmation, activeVersion: active};
    expect(filter.accepts(query)).toBe(accepted);
  });
});

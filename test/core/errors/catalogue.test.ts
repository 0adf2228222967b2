import {describe, expect, it} from 'vitest';

import {RefusalReason, REFUSALS} from '../../../src/core/errors/index.js';

describe('REFUSALS', () => {
  it.each(Object.values(RefusalReason))(
    'has an entry named %s with an error status',
    (reason) => {
      const {data, status} = REFUSALS[reason];
      expect(data.name).toBe(reason);
      expect(status).toBeGreaterThanOrEqual(400);
    },
  );
});

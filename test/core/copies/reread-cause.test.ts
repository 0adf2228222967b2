/** Why the prompt of a lost generation is read again. */
import {describe, expect, it} from 'vitest';

import {RereadCause, rereadCauseOf} from '../../../src/core/copies/index.js';

const RAN = {didRun: true, usedCopy: false};
const OLD = {hasHolder: true, events: 20, writingMs: 2_000};
const NEW = {hasHolder: true, events: 0, writingMs: 0};
const ALONE = {hasHolder: false, events: 20, writingMs: 2_000};
const REJECTED = {didRun: false, copy: NEW};

describe('rereadCauseOf', () => {
  it.each([
    {name: 'has no copy', lost: {...RAN, copy: ALONE}, cause: 'no_copy'},
    {name: 'just began', lost: {...RAN, copy: NEW}, cause: 'copy_too_new'},
    {name: 'has a copy', lost: {...RAN, copy: OLD}, cause: 'holder_lost'},
    {
      name: 'was rejected at its copy',
      lost: {...REJECTED, usedCopy: true},
      cause: 'holder_refused',
    },
    {
      name: 'was rejected later',
      lost: {...REJECTED, usedCopy: false, earlier: RereadCause.NO_COPY},
      cause: 'no_copy',
    },
    {
      name: 'was rejected at first',
      lost: {...REJECTED, usedCopy: false},
      cause: undefined,
    },
  ])('is $cause if the generation $name', ({lost, cause}) => {
    expect(rereadCauseOf(lost)).toBe(cause);
  });
});

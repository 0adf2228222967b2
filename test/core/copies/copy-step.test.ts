/** What is done for the copy of a generation, by its state and age. */
import {describe, expect, it} from 'vitest';

import {
  CopyStep,
  decideCopyStep,
  outsideDataCentre,
} from '../../../src/core/copies/index.js';

const USABLE = {isUsable: true, isRequested: false};
const REQUESTED = {isUsable: true, isRequested: true};
const LOST = {isUsable: false, isRequested: false};

describe('decideCopyStep', () => {
  it.each([
    {copy: undefined, mustHaveCopy: false, ageMs: 9_000, step: CopyStep.KEEP},
    {copy: undefined, mustHaveCopy: true, ageMs: 900, step: CopyStep.KEEP},
    {copy: undefined, mustHaveCopy: true, ageMs: 1_000, step: CopyStep.SEARCH},
    {copy: USABLE, mustHaveCopy: true, ageMs: 9_000, step: CopyStep.KEEP},
    {copy: REQUESTED, mustHaveCopy: true, ageMs: 1_900, step: CopyStep.KEEP},
    {copy: REQUESTED, mustHaveCopy: true, ageMs: 2_000, step: CopyStep.REFRESH},
    {copy: LOST, mustHaveCopy: true, ageMs: 300, step: CopyStep.KEEP},
    {copy: LOST, mustHaveCopy: true, ageMs: 400, step: CopyStep.SEARCH},
    {copy: LOST, mustHaveCopy: false, ageMs: 400, step: CopyStep.REPLACE},
  ])('says $step for $copy after $ageMs ms', ({step, ...state}) => {
    expect(decideCopyStep(state)).toBe(step);
  });
});

describe('outsideDataCentre', () => {
  const engine = (id: string) => ({id, record: {dataCentre: id.charAt(0)}});
  const [a1, a2, b1] = [engine('a1'), engine('a2'), engine('b1')];

  it.each([
    {targets: [a1, a2, b1], candidates: [a1, b1], expected: [b1]},
    {targets: [a1, a2, b1], candidates: [a2], expected: []},
    {targets: [a1, a2], candidates: [a2], expected: [a2]},
  ])('leaves $expected of $candidates', ({expected, ...query}) => {
    const found = outsideDataCentre({...query, dataCentre: 'a'});
    expect(found).toEqual(expected);
  });
});

/** Answers to calls for reservations that may be those of other calls. */
import {describe, expect, it} from 'vitest';

import {GrantedReservations} from '../../platform/reservations.js';

const granted = (id: string) => ({
  status: 200,
  headers: {},
  body: Buffer.from(JSON.stringify({retention: id})),
});

describe('a reservation that was granted before', () => {
  it.each([
    {isFirst: false, mayBe: false},
    {isFirst: true, mayBe: true},
  ])('on a first connection $isFirst: $mayBe', ({isFirst, mayBe}) => {
    const reservations = new GrantedReservations();
    const res = granted('r-1') as never;
    expect(reservations.mayBeAnswer(res, {isFirst: false})).toBe(true);
    expect(reservations.mayBeAnswer(res, {isFirst})).toBe(mayBe);
  });
});

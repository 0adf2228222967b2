/** Codec of what entries tell each other of a roll-out. */
import {
  array,
  boolean,
  Codec,
  enumeration,
  Left,
  number,
  optional,
  Right,
  string,
} from 'purify-ts';

import type {EvidenceCell} from './types.js';
import {BadReason, RolloutStep} from './types.js';

const COUNT = Codec.custom<number>({
  decode: (value) =>
    typeof value === 'number' && Number.isFinite(value) && value >= 0
      ? Right(value)
      : Left(`expected a count, got ${JSON.stringify(value)}`),
  encode: (value) => value,
});

const CELL: Codec<EvidenceCell> = Codec.interface({
  isNew: boolean,
  route: string,
  dataCentre: string,
  target: string,
  answers: COUNT,
  failures: COUNT,
  lost: COUNT,
  timed: COUNT,
  slow: COUNT,
});

/** Codec of the stored object of one entry and service. */
export const EVIDENCE_ROW = Codec.interface({
  service: string,
  order: string,
  vm: string,
  tick: number,
  ageMs: COUNT,
  step: enumeration(RolloutStep),
  bad: optional(enumeration(BadReason)),
  oldOpen: COUNT,
  cells: array(CELL),
});

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

/** Separates the fields of a cell; no path or name holds it. */
const SEPARATOR = '\t';

const CELL_FIELDS = 9;

/** Rows are written every second, so a cell is a line of text. */
const CELL = Codec.custom<EvidenceCell>({
  decode: (value) => {
    const cell = typeof value === 'string' ? parseCell(value) : undefined;
    return cell === undefined
      ? Left(`expected a cell, got ${JSON.stringify(value)}`)
      : Right(cell);
  },
  encode: (cell) =>
    [
      cell.isNew ? 1 : 0,
      cell.route,
      cell.dataCentre,
      cell.target,
      cell.answers,
      cell.failures,
      cell.lost,
      cell.timed,
      cell.slow,
    ].join(SEPARATOR),
});

function parseCell(text: string): EvidenceCell | undefined {
  const fields = text.split(SEPARATOR);
  if (fields.length !== CELL_FIELDS) return undefined;
  const [isNew, route, dataCentre, target, ...rest] = fields;
  const [answers, failures, lost, timed, slow] = rest.map(Number);
  const counts = {
    answers: answers!,
    failures: failures!,
    lost: lost!,
    timed: timed!,
    slow: slow!,
  };
  const areCounts = Object.values(counts).every((n) => n >= 0 && n < Infinity);
  if (!areCounts) return undefined;
  return {
    isNew: isNew === '1',
    route: route!,
    dataCentre: dataCentre!,
    target: target!,
    ...counts,
  };
}

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
  barred: optional(array(string)),
  isWayBack: optional(boolean),
  cells: array(CELL),
});

/** Targets that are lost together with their data centre. */
import {describe, expect, it} from 'vitest';

import {ManualClock} from '../../../src/core/clock/index.js';
import {isDataCentreOutage} from '../../../src/core/poison/index.js';
import {incarnationOf, Target} from '../../../src/core/targets/index.js';

const ENGINES = 'engines';
const DESKS = 'desks';

/** When the target is lost that is asked about, in milliseconds. */
const LOST_MS = 10_000;

interface Beside {
  readonly service?: string;
  readonly dataCentre?: string;
  /** When it is found lost; it is there where this is left out. */
  readonly lostMs?: number;
  /** The request may have ended it before. */
  readonly wasEnded?: boolean;
}

const LOST = {lostMs: LOST_MS};

const CASES: ReadonlyArray<{
  name: string;
  beside: readonly Beside[];
  isFall: boolean;
}> = [
  {name: 'all others went too', beside: [LOST, LOST, LOST], isFall: true},
  {name: 'all others are there', beside: [{}, {}, {}], isFall: false},
  {name: 'one of three went too', beside: [LOST, {}, {}], isFall: false},
  {
    name: 'another went, long before',
    beside: [{lostMs: LOST_MS - 5_000}],
    isFall: false,
  },
  {
    name: 'the one that is left went, another was gone long before',
    beside: [LOST, {lostMs: LOST_MS - 5_000}],
    isFall: true,
  },
  {
    name: 'the request had ended the others',
    beside: [
      {...LOST, wasEnded: true},
      {...LOST, wasEnded: true},
    ],
    isFall: false,
  },
  {
    name: 'the request had ended one, and one that it never met is there',
    beside: [{...LOST, wasEnded: true}, {}],
    isFall: false,
  },
  {
    name: 'another data centre went',
    beside: [{...LOST, dataCentre: 'b'}],
    isFall: false,
  },
  {
    name: 'it was the only one of its service, and the rest went',
    beside: [
      {...LOST, service: DESKS},
      {...LOST, service: DESKS},
    ],
    isFall: true,
  },
  {name: 'it was alone', beside: [], isFall: false},
];

describe('fellTogether', () => {
  it.each(CASES)('says $isFall where $name', ({beside, isFall}) => {
    const clock = new ManualClock();
    const create = (i: number, {service, dataCentre}: Beside) =>
      new Target({
        clock,
        record: {
          id: `i-${i}`,
          service: service ?? ENGINES,
          address: `127.0.0.1:${i}`,
          dataCentre: dataCentre ?? 'a',
          slots: 8,
          isDraining: false,
          startedAtMs: 1,
        },
      });
    const lost = create(0, {});
    const others = beside.map((options, i) => create(i + 1, options));
    const byTime = beside
      .map(({lostMs}, i) => ({target: others[i]!, lostMs}))
      .filter(({lostMs}) => lostMs !== undefined)
      .sort((a, b) => a.lostMs! - b.lostMs!);
    for (const {target, lostMs} of byTime) {
      clock.advance(lostMs! - clock.now());
      target.pause();
    }
    const ended = others.filter((_, i) => beside[i]!.wasEnded === true);
    const answer = isDataCentreOutage({
      lost,
      lostAtMs: LOST_MS,
      targets: [lost, ...others],
      crashedBefore: new Set(ended.map(({record}) => incarnationOf(record))),
    });
    expect(answer).toBe(isFall);
  });
});

/** Guards against mistaking an outage for crashes, or crashes for an outage. */
import {describe, expect, it} from 'vitest';

import {ManualClock} from '../../../src/core/clock/index.js';
import {isDataCentreOutage} from '../../../src/core/poison/index.js';
import {incarnationOf, Target} from '../../../src/core/targets/index.js';

const ENGINES = 'engines';
const DESKS = 'desks';

/** When the target in question is lost, in milliseconds. */
const LOST_MS = 10_000;

/** Another known target. */
interface Neighbour {
  readonly service?: string;
  readonly dataCentre?: string;
  /** When it is lost; undefined if it is present. */
  readonly lostMs?: number;
  /** Whether the request may have crashed it before. */
  readonly wasCrashed?: boolean;
}

const LOST = {lostMs: LOST_MS};

const CASES: ReadonlyArray<{
  name: string;
  neighbours: readonly Neighbour[];
  isOutage: boolean;
}> = [
  {
    name: 'all others were lost too',
    neighbours: [LOST, LOST, LOST],
    isOutage: true,
  },
  {name: 'all others are present', neighbours: [{}, {}, {}], isOutage: false},
  {
    name: 'one of three was lost too',
    neighbours: [LOST, {}, {}],
    isOutage: false,
  },
  {
    name: 'another was lost long before',
    neighbours: [{lostMs: LOST_MS - 5_000}],
    isOutage: false,
  },
  {
    name: 'the last other target was lost too, and another long before',
    neighbours: [LOST, {lostMs: LOST_MS - 5_000}],
    isOutage: true,
  },
  {
    name: 'the request may have crashed the others',
    neighbours: [
      {...LOST, wasCrashed: true},
      {...LOST, wasCrashed: true},
    ],
    isOutage: false,
  },
  {
    name: 'the request may have crashed one, and an unrelated one is present',
    neighbours: [{...LOST, wasCrashed: true}, {}],
    isOutage: false,
  },
  {
    name: 'the request may have crashed two, and the last other one was lost too',
    neighbours: [
      {...LOST, wasCrashed: true},
      {...LOST, wasCrashed: true},
      LOST,
    ],
    isOutage: false,
  },
  {
    name: 'the request may have crashed two, and two others were lost too',
    neighbours: [
      {...LOST, wasCrashed: true},
      {...LOST, wasCrashed: true},
      LOST,
      LOST,
    ],
    isOutage: true,
  },
  {
    name: 'a target of another data centre was lost',
    neighbours: [{...LOST, dataCentre: 'b'}],
    isOutage: false,
  },
  {
    name: 'it was the only one of its service, and all others were lost',
    neighbours: [
      {...LOST, service: DESKS},
      {...LOST, service: DESKS},
    ],
    isOutage: true,
  },
  {name: 'there was no other target', neighbours: [], isOutage: false},
];

describe('isDataCentreOutage', () => {
  it.each(CASES)('returns $isOutage if $name', ({neighbours, isOutage}) => {
    const clock = new ManualClock();
    const create = (i: number, {service, dataCentre}: Neighbour) =>
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
    const others = neighbours.map((options, i) => create(i + 1, options));
    const byTime = neighbours
      .map(({lostMs}, i) => ({target: others[i]!, lostMs}))
      .filter(({lostMs}) => lostMs !== undefined)
      .sort((a, b) => a.lostMs! - b.lostMs!);
    for (const {target, lostMs} of byTime) {
      clock.advance(lostMs! - clock.now());
      target.pause();
    }
    const crashed = others.filter((_, i) => neighbours[i]!.wasCrashed === true);
    const result = isDataCentreOutage({
      lost,
      lostAtMs: LOST_MS,
      targets: [lost, ...others],
      crashedBefore: new Set(crashed.map(({record}) => incarnationOf(record))),
    });
    expect(result).toBe(isOutage);
  });
});

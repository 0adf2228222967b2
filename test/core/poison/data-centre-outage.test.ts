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
  /** When it responded to a probe. */
  readonly seenMs?: number;
  /** Whether the request may have crashed it before. */
  readonly wasCrashed?: boolean;
}

const LOST = {lostMs: LOST_MS};

function many(neighbour: Neighbour, count: number): Neighbour[] {
  return Array.from({length: count}, () => neighbour);
}

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
  {
    name: 'all probed targets of many were lost too',
    neighbours: [...many(LOST, 20), ...many({}, 400)],
    isOutage: true,
  },
  {
    name: 'half of the probed targets of many have responded',
    neighbours: [
      ...many(LOST, 10),
      ...many({seenMs: LOST_MS + 50}, 10),
      ...many({}, 400),
    ],
    isOutage: false,
  },
  {
    name: 'two of many were lost too, and no other was probed',
    neighbours: [...many(LOST, 2), ...many({}, 400)],
    isOutage: false,
  },
  {
    name: 'two of many were lost too, and the others were seen before',
    neighbours: [...many(LOST, 2), ...many({seenMs: LOST_MS - 50}, 400)],
    isOutage: false,
  },
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
      .map(({lostMs, seenMs}, i) => ({
        target: others[i]!,
        atMs: lostMs ?? seenMs,
        isLost: lostMs !== undefined,
      }))
      .filter(({atMs}) => atMs !== undefined)
      .sort((a, b) => a.atMs! - b.atMs!);
    for (const {target, atMs, isLost} of byTime) {
      clock.advance(atMs! - clock.now());
      if (isLost) target.pause();
      else target.recordSuccess();
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

import {beforeEach, describe, expect, it} from 'vitest';

import {ManualClock} from '../../../src/core/clock/index.js';
import {LossLedger, toPartSuspects} from '../../../src/core/poison/index.js';

/** A target that was lost while it ran a request, whose name is the key. */
interface LossOfRequest {
  readonly request: string;
  readonly incarnation: string;
  /** Ids of the parts of its prompt. */
  readonly prompt: readonly string[];
}

/** Key of a prompt part. */
function keyOf(id: string): string {
  const parts = [id, 'last'].map((part) => ({id: part, tokens: 1}));
  return toPartSuspects(parts)[0]!.key;
}

function lossesOf(
  requests: readonly string[],
  promptOf: (i: number) => readonly string[],
): LossOfRequest[] {
  return requests.map((request, i) => {
    return {request, incarnation: `i-${i}@1`, prompt: promptOf(i)};
  });
}

const DIFFERENT = ['p', 'q', 'r', 's'];

const CASES = [
  {
    name: 'a part of several requests that lost four targets',
    losses: lossesOf(['p', 'p', 'q', 'r'], (i) => ['bad', `own ${i}`]),
    served: [],
    blamed: ['bad'],
  },
  {
    name: 'no part that lost three targets',
    losses: lossesOf(['p', 'q', 'r'], (i) => ['bad', `own ${i}`]),
    served: [],
    blamed: [],
  },
  {
    name: 'no part of a single request, which crashes targets itself',
    losses: lossesOf(['p', 'p', 'p', 'p', 'p'], () => ['a', 'b', 'own']),
    served: [],
    blamed: [],
  },
  {
    name: 'never the last part of a prompt',
    losses: lossesOf(DIFFERENT, () => ['last']),
    served: [],
    blamed: [],
  },
  {
    name: 'no part that was served',
    losses: lossesOf(DIFFERENT, (i) => ['sound', 'bad', `own ${i}`]),
    served: ['sound'],
    blamed: ['bad'],
  },
  {
    name: 'the later of two parts with the same losses',
    losses: lossesOf(DIFFERENT, (i) => ['first', 'bad', `own ${i}`]),
    served: [],
    blamed: ['bad'],
  },
  {
    name: 'the part that explains more losses',
    losses: lossesOf([...DIFFERENT, 't', 'u', 'v', 'w'], (i) => [
      'bad',
      `shared ${i % 2}`,
      `own ${i}`,
    ]),
    served: [],
    blamed: ['bad'],
  },
];

describe('LossLedger with prompt parts', () => {
  let ledger: LossLedger;

  beforeEach(() => {
    ledger = new LossLedger({clock: new ManualClock()});
  });

  const record = (
    {request, incarnation, prompt}: LossOfRequest,
    target = ledger,
  ) => {
    const parts = prompt.map((id) => ({id, tokens: 1}));
    const suspects = [
      {suspect: request, incarnation},
      ...toPartSuspects(parts).map(({key, position}) => {
        return {suspect: key, incarnation, part: {by: request, position}};
      }),
    ];
    for (const loss of suspects) {
      target.recordLoss(loss);
      target.confirm(loss);
    }
  };

  const blamedOf = (losses: readonly LossOfRequest[]) => {
    const ids = new Set(losses.flatMap(({prompt}) => prompt));
    return [...ids].filter((id) => ledger.isPoison(keyOf(id)));
  };

  it.each(CASES)('blames $name', ({losses, served, blamed}) => {
    for (const loss of losses) record(loss);
    for (const id of served) ledger.recordServed(keyOf(id));
    ledger.updateEntry('entry-2', {losses: [], harmless: served.map(keyOf)});
    expect(blamedOf(losses)).toEqual(blamed);
  });

  it('blames a part for losses that several entries recorded', () => {
    const losses = lossesOf(DIFFERENT, (i) => ['bad', `own ${i}`]);
    const other = new LossLedger({clock: new ManualClock()});
    losses.forEach((loss, i) => record(loss, i % 2 === 0 ? ledger : other));
    expect(blamedOf(losses)).toEqual([]);
    ledger.updateEntry('entry-2', other.toRecordedLosses());
    expect(blamedOf(losses)).toEqual(['bad']);
    // The alert tells an entry without losses of its own the same.
    const third = new LossLedger({clock: new ManualClock()});
    third.alerts.add(keyOf('bad'), ledger.toAlert(keyOf('bad')));
    expect(third.isPoison(keyOf('bad'))).toBe(true);
  });

  it('blames nothing else for targets that a quarantined part crashes', () => {
    const losses = lossesOf(DIFFERENT, (i) => ['first', 'bad', `own ${i}`]);
    for (const loss of losses) record(loss);
    ledger.attribute(keyOf('bad'), ['i-0@1', 'i-1@1', 'i-2@1', 'i-3@1']);
    expect(ledger.mayBePoison(keyOf('first'))).toBe(false);
    const bystander = ['first', 'own'];
    for (const i of [4, 5, 6, 7]) {
      const incarnation = `i-${i}@1`;
      record({request: `p${i}`, incarnation, prompt: ['first', 'bad', 'own']});
      record({request: `b${i}`, incarnation, prompt: bystander});
    }
    expect(ledger.mayBePoison(keyOf('first'))).toBe(false);
  });

  it('blames a part also for targets that poison requests crashed', () => {
    const losses = lossesOf(['p', 'p', 'p', 'q'], (i) => ['bad', `own ${i}`]);
    for (const loss of losses) record(loss);
    ledger.attribute('p', ['i-0@1', 'i-1@1', 'i-2@1']);
    expect(blamedOf(losses)).toEqual(['bad']);
  });
});

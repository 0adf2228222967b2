/** Requests that are held to crash engines. */
import {beforeEach, describe, expect, it} from 'vitest';

import {ManualClock} from '../../../src/core/clock/index.js';
import {CrashRecord, POISON_CRASHES} from '../../../src/core/poison/index.js';

const REQUEST = 'a request';
const ENGINES = Array.from({length: POISON_CRASHES}, (_, i) => `i-${i}`);
const LONG_MS = 61_000;

describe('CrashRecord', () => {
  let clock: ManualClock;
  let crashes: CrashRecord;

  beforeEach(() => {
    clock = new ManualClock();
    crashes = new CrashRecord({clock});
  });

  const loseAll = () => {
    for (const engine of ENGINES) crashes.note(REQUEST, engine);
  };

  it('holds a request that was there when several engines were lost', () => {
    loseAll();
    expect(crashes.isPoison(REQUEST)).toBe(true);
    expect(crashes.isPoison('another')).toBe(false);
  });

  it('counts an engine once that is lost under many equal requests', () => {
    for (let i = 0; i < 10; i++) crashes.note(REQUEST, 'i-1');
    expect(crashes.isPoison(REQUEST)).toBe(false);
  });

  it('never holds a request for which an engine has written before', () => {
    // Callers ask the same again; engines are lost for other causes.
    crashes.noteWritten(REQUEST);
    loseAll();
    expect(crashes.isPoison(REQUEST)).toBe(false);
  });

  it.each([
    {
      name: 'an engine has written for it',
      act: () => crashes.noteWritten(REQUEST),
    },
    {
      name: 'one loss had another cause',
      act: () => crashes.acquit(REQUEST, ENGINES[0]!),
    },
    {name: 'it was long ago', act: () => clock.advance(LONG_MS)},
  ])('lets a request go once $name', ({act}) => {
    loseAll();
    act();
    expect(crashes.isPoison(REQUEST)).toBe(false);
  });
});

/** Suspects are placed apart from each other. */
import {describe, expect, it} from 'vitest';

import {ManualClock} from '../../../src/core/clock/index.js';
import {rankByFingerprint} from '../../../src/core/placing/index.js';
import {Target} from '../../../src/core/targets/index.js';

const TARGETS = 12;
const SUSPECTS = 200;

/** Chance that two suspects meet where all targets are as likely. */
const CHANCE = 1 / TARGETS;

describe('rankApart', () => {
  const clock = new ManualClock();
  const targets = Array.from({length: TARGETS}, (_, i) => {
    const record = {
      id: `i-${i}`,
      service: 'engines',
      address: `127.0.0.1:${i}`,
      dataCentre: 'a',
      slots: 8,
      isDraining: false,
    };
    return new Target({record, clock});
  });
  const first = (i: number) =>
    rankByFingerprint(`suspect ${i}`, targets)[0]!.id;

  it('gives a suspect the same order each time, with every target', () => {
    expect(rankByFingerprint('p', targets)).toEqual(
      rankByFingerprint('p', targets),
    );
    expect(new Set(rankByFingerprint('p', targets)).size).toBe(TARGETS);
  });

  it('lets two suspects hardly ever meet', () => {
    const meetings = Array.from({length: SUSPECTS}, (_, i) => i).filter(
      (i) => first(i) === first(i + SUSPECTS),
    );
    expect(meetings.length / SUSPECTS).toBeLessThan(2 * CHANCE);
  });
});

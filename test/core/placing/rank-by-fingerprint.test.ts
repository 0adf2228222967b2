/** Tests that requests that may crash targets go to different targets. */
import {describe, expect, it} from 'vitest';

import {ManualClock} from '../../../src/core/clock/index.js';
import {rankByFingerprint} from '../../../src/core/placing/index.js';
import {Target} from '../../../src/core/targets/index.js';

const TARGETS = 12;
const REQUESTS = 200;

/** Probability that two requests get the same target at random. */
const COLLISION_PROBABILITY = 1 / TARGETS;

describe('rankByFingerprint', () => {
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
  const firstTargetOf = (i: number) =>
    rankByFingerprint(`suspect ${i}`, targets)[0]!.id;

  it('returns all targets, in the same order for the same fingerprint', () => {
    expect(rankByFingerprint('p', targets)).toEqual(
      rankByFingerprint('p', targets),
    );
    expect(new Set(rankByFingerprint('p', targets)).size).toBe(TARGETS);
  });

  it('rarely ranks the same target first for two fingerprints', () => {
    const collisions = Array.from({length: REQUESTS}, (_, i) => i).filter(
      (i) => firstTargetOf(i) === firstTargetOf(i + REQUESTS),
    );
    expect(collisions.length / REQUESTS).toBeLessThan(
      2 * COLLISION_PROBABILITY,
    );
  });
});

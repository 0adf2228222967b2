/** Followers that wait for another one while their store is away. */
import {errAsync, okAsync} from 'neverthrow';
import {beforeEach, describe, expect, it} from 'vitest';

import {ManualClock, SeededRandom} from '../../../src/core/clock/index.js';
import type {StateSource} from '../../../src/core/edges/state-source.js';
import {SourceErrorKind} from '../../../src/core/edges/state-source.js';
import {
  Follower,
  FollowerRole,
  OutageGate,
} from '../../../src/core/sync/index.js';
import {silentSupervisor} from '../../support/supervisor.js';

const OUTAGE_MS = 9_000;

/** Time in which all followers must have read the store again, in ms. */
const RECOVERY_MS = 750;

/** Calls of a waiting follower in the outage: some early, then each 3 s. */
const MAX_WAITING_CALLS = 5;

const TICK_MS = 10;

const {LEADER, WAITING} = FollowerRole;

/** A store that rejects calls while it is away, and counts them. */
class FailingSource implements StateSource<string> {
  calls = 0;
  successes = 0;

  constructor(private readonly isAway: () => boolean) {}

  list() {
    this.calls++;
    if (this.isAway()) return errAsync(UNAVAILABLE);
    this.successes++;
    return okAsync({items: [], revision: 1});
  }

  waitForChanges() {
    this.calls++;
    return errAsync(UNAVAILABLE);
  }
}

const UNAVAILABLE = {kind: SourceErrorKind.UNAVAILABLE, detail: 'status 503'};

describe('followers behind an outage gate', () => {
  let clock: ManualClock;
  let isAway: (role: FollowerRole) => boolean;

  beforeEach(() => {
    clock = new ManualClock();
  });

  const start = () => {
    const supervisor = silentSupervisor(clock);
    const gate = new OutageGate({clock, supervisor});
    const random = new SeededRandom(20261204);
    return [LEADER, WAITING, WAITING].map((role) => {
      const source = new FailingSource(() => isAway(role));
      new Follower({
        source,
        clock,
        supervisor,
        random,
        waitMs: 1_000,
        gate,
        role,
        listener: {
          onSnapshot: () => undefined,
          onChanges: () => undefined,
          onConfirmed: () => undefined,
          onError: () => undefined,
        },
      }).start();
      return source;
    });
  };

  const advance = async (ms: number) => {
    for (let passed = 0; passed < ms; passed += TICK_MS) {
      for (let i = 0; i < 20; i++) await Promise.resolve();
      clock.advance(TICK_MS);
    }
  };

  it('make few calls in an outage, and all return with the leader', async () => {
    isAway = () => clock.now() < OUTAGE_MS;
    const [, ...waiting] = start();
    await advance(OUTAGE_MS);
    for (const {calls} of waiting)
      expect(calls).toBeLessThanOrEqual(MAX_WAITING_CALLS);
    await advance(RECOVERY_MS);
    for (const {successes} of waiting) expect(successes).toBeGreaterThan(0);
  });

  it('return without the leader if only its calls fail', async () => {
    isAway = (role) => role === LEADER || clock.now() < OUTAGE_MS;
    const [, ...waiting] = start();
    await advance(OUTAGE_MS + 3_000);
    for (const {successes} of waiting) expect(successes).toBeGreaterThan(0);
  });
});

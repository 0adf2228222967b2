/** Requests that a roll-out keeps from a version that is not trusted. */
import {expect, it} from 'vitest';

import {SystemClock} from '../../src/core/clock/index.js';
import type {
  DirectTargets,
  ExchangeListener,
} from '../../src/core/edges/direct-target.js';
import {ExchangeFailure} from '../../src/core/edges/direct-target.js';
import {Metrics} from '../../src/core/metrics/index.js';
import {ProcessDelays} from '../../src/core/rollouts/index.js';
import {CountedTargets} from '../../src/direct/rollouts/counted-targets.js';
import type {Rollout} from '../../src/direct/rollouts/rollout.js';
import {silentSupervisor} from '../support/supervisor.js';

const TARGET = {
  id: 'i-1',
  service: 'desk',
  address: '127.0.0.1:1',
  dataCentre: 'a',
  slots: 4,
  isDraining: false,
};

const SENT = {
  target: TARGET,
  maxConnections: 1,
  req: {
    attemptId: 'try-1',
    method: 'GET',
    path: '/',
    headers: [],
    body: new Uint8Array(),
    leftMs: 1_000,
  },
};

it('are held back, which says nothing of their target', async () => {
  const rollout = {isNew: () => true, mayUseNew: false} as unknown as Rollout;
  const clock = new SystemClock();
  const counted = new CountedTargets({
    client: {canTake: () => true} as unknown as DirectTargets,
    rolloutOf: () => rollout,
    clock,
    delays: new ProcessDelays({clock}),
    metrics: new Metrics(),
    supervisor: silentSupervisor(),
  });
  const failure = await new Promise<ExchangeFailure>((resolve) => {
    const listener = {onFailure: resolve} as Partial<ExchangeListener>;
    counted.send({...SENT, listener: listener as ExchangeListener});
  });
  expect(failure).toBe(ExchangeFailure.HELD_BACK);
  const query = {target: TARGET, maxConnections: 1, bodyBytes: 0};
  expect(counted.canTake(query)).toBe(false);
});

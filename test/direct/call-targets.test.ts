/** Where a call goes when some of its targets are full. */
import {expect, it} from 'vitest';

import {ManualClock, SeededRandom} from '../../src/core/clock/index.js';
import {Target} from '../../src/core/targets/index.js';
import {CallTargets} from '../../src/direct/call-targets.js';
import type {DirectWork, RequestContext} from '../../src/direct/context.js';

const FULL = 'i-full';
const FREE = 'i-free';

const createTarget = (id: string, running: number) => {
  const target = new Target({
    clock: new ManualClock(),
    record: {
      id,
      service: 'desk',
      address: '127.0.0.1:1',
      dataCentre: 'a',
      slots: 64,
      isDraining: false,
    },
  });
  for (let i = 0; i < running; i++) target.begin({tokens: 0});
  return target;
};

// Guards against a slow call that stays where it is, as the best other target
// is full (LOST).
it.each([
  {isFree: undefined, chosen: FULL},
  {isFree: true, chosen: FREE},
])('is $chosen if it must be free: $isFree', ({isFree, chosen}) => {
  const all = [createTarget(FULL, 0), createTarget(FREE, 40)];
  const ctx = {
    dataCentre: 'a',
    random: new SeededRandom(1),
    targets: {ofService: () => all},
    client: {
      canTake: ({target}: {target: {id: string}}) => target.id === FREE,
    },
  } as unknown as RequestContext;
  const work = {
    service: {name: 'desk', maxConnections: 20},
    req: {body: new Uint8Array()},
  } as unknown as DirectWork;
  const targets = new CallTargets({ctx, work, isOver: () => false});
  expect(targets.choose({isFree})?.id).toBe(chosen);
});

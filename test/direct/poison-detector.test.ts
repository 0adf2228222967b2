import {describe, expect, it} from 'vitest';

import {ManualClock} from '../../src/core/clock/index.js';
import {
  LossLedger,
  Quarantine,
  toPartSuspects,
} from '../../src/core/poison/index.js';
import type {DirectWork, RequestContext} from '../../src/direct/context.js';
import {PoisonDetector} from '../../src/direct/poison/index.js';

const PROMPT = ['shared', 'own'].map((id) => ({id, tokens: 100}));
const [PART] = toPartSuspects(PROMPT);

const ROWS = [
  {name: 'a suspect if no target has served the part', isServed: false},
  {name: 'none if this entry has served the part', isServed: true},
];

describe('a request with a part under which others lost targets', () => {
  it.each(ROWS)('is $name', ({isServed}) => {
    const ledger = new LossLedger({clock: new ManualClock()});
    const losses = ['p', 'p', 'q'].map((by, i) => ({
      request: PART!.key,
      life: `i-${i}@1`,
      isSettled: true,
      part: {by, position: 0},
    }));
    ledger.updateEntry('entry-2', {losses, harmless: []});
    const hasServed = (key: string) => isServed && key === PART!.key;
    const detector = new PoisonDetector({
      ctx: {
        lossTracker: {ledger, hasServed},
        quarantine: new Quarantine(),
        boundary: {guard: (callback: unknown) => callback},
      } as unknown as RequestContext,
      work: {
        req: {path: '/', body: Buffer.alloc(0), promptParts: PROMPT},
        admitted: {},
      } as unknown as DirectWork,
      onPoison: () => undefined,
    });
    expect(detector.isSuspect()).toBe(!isServed);
    expect(detector.mayBePoison()).toBe(!isServed);
  });
});

/** Engines that end too early after a resume; stop strings across attempts. */
import {afterEach, describe, expect, it} from 'vitest';

import {expectedOutput} from '../../stand-ins/engine/text.js';
import type {NamedValues} from '../../tools/lab/lab.js';
import {
  expectedTextOf,
  Fault,
  FaultSite,
  FaultStage,
  Component,
} from '../support/fault-site.js';

const LENGTH = 40;
const PROMPT = `fitting notes [length=${LENGTH}]`;

function earlyEndFlags(kind: string): NamedValues {
  return {'early-done-after-resume': true, 'early-done-kind': kind};
}

/** Text of eight tokens from the middle on, shortly after the fault. */
function stopAfterResume(): string {
  const spec = {prompt: PROMPT, maxTokens: LENGTH, stop: []};
  const {tokens} = expectedOutput(spec);
  const middle = tokens.slice(LENGTH / 2, LENGTH / 2 + 8);
  return middle.map((token) => token.text).join('');
}

const CASES = [
  {
    name: 'reports finish reason stop too early',
    flags: earlyEndFlags('stop'),
    finish: 'stop',
  },
  {
    name: 'reports finish reason length too early',
    flags: earlyEndFlags('length'),
    finish: 'stop',
  },
  {
    name: 'ends too early without a finish reason',
    flags: earlyEndFlags('no_reason'),
    finish: 'stop',
  },
  {
    name: 'ends at a stop string that spans two attempts',
    flags: {},
    stop: [stopAfterResume()],
    finish: 'stop',
  },
  {name: 'ends at max_tokens', flags: {}, maxTokens: 30, finish: 'length'},
];

describe('a resumed generation whose engine', () => {
  let faultSite: FaultSite | undefined;

  afterEach(() => faultSite?.close());

  it.each(CASES)('$name is complete', async (row) => {
    const {flags, finish, stop, maxTokens = LENGTH * 2} = row;
    faultSite = await FaultSite.create({
      entries: 1,
      relays: false,
      engineFlags: {'pace-ms': 15, ...flags},
    });
    const req = {prompt: PROMPT, maxTokens, stop};
    const transcript = await faultSite.runWithFault({
      req,
      faultCase: {
        fault: Fault.KILL,
        components: [Component.ENGINE],
        stage: FaultStage.MIDDLE,
      },
      faultPosition: LENGTH / 2 - 2,
    });
    expect(transcript.errors).toEqual([]);
    expect(transcript.text).toBe(expectedTextOf(req));
    expect(transcript.doneEvents).toBe(1);
    expect(transcript.finishReason).toBe(finish);
  });
});

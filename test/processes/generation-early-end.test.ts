/** Engines end answers too early after a resume; stop strings span attempts. */
import {afterEach, describe, expect, it} from 'vitest';

import {expectedOutput} from '../../stand-ins/engine/text.js';
import type {NamedValues} from '../../tools/lab/lab.js';
import {
  expectedText,
  Fault,
  FaultSite,
  Moment,
  Victim,
} from '../support/fault-site.js';

const LENGTH = 40;
const PROMPT = `fitting notes [length=${LENGTH}]`;

function early(kind: string): NamedValues {
  return {'early-done-after-resume': true, 'early-done-kind': kind};
}

/** Text of three tokens right after the resume point. */
function stopAfterResume(): string {
  const spec = {prompt: PROMPT, maxTokens: LENGTH, stop: []};
  const {tokens} = expectedOutput(spec);
  const middle = tokens.slice(LENGTH / 2, LENGTH / 2 + 8);
  return middle.map((token) => token.text).join('');
}

const CASES = [
  {name: 'claims a stop', flags: early('stop'), finish: 'stop'},
  {name: 'claims the length', flags: early('length'), finish: 'stop'},
  {name: 'gives no reason', flags: early('no_reason'), finish: 'stop'},
  {
    name: 'ends by a stop string of two attempts',
    flags: {},
    stop: [stopAfterResume()],
    finish: 'stop',
  },
  {name: 'ends by max_tokens', flags: {}, maxTokens: 30, finish: 'length'},
];

describe('a resumed answer whose engine', () => {
  let faultSite: FaultSite | undefined;

  afterEach(() => faultSite?.close());

  it.each(CASES)('$name is whole', async (row) => {
    const {flags, finish, stop, maxTokens = LENGTH * 2} = row;
    faultSite = await FaultSite.create({
      entries: 1,
      relays: false,
      engineFlags: {'pace-ms': 15, ...flags},
    });
    const ask = {prompt: PROMPT, maxTokens, stop};
    const transcript = await faultSite.run({
      ask,
      faultCase: {
        fault: Fault.KILL,
        victims: [Victim.ENGINE],
        moment: Moment.MIDDLE,
      },
      breakAt: LENGTH / 2 - 2,
    });
    expect(transcript.errors).toEqual([]);
    expect(transcript.text).toBe(expectedText(ask));
    expect(transcript.ends).toBe(1);
    expect(transcript.finishReason).toBe(finish);
  });
});

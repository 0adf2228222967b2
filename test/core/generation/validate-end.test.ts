/** Guards against accepting an end before the output is complete. */
import {describe, expect, it} from 'vitest';

import type {Token} from '../../../src/core/edges/index.js';
import {FinishReason} from '../../../src/core/edges/index.js';
import {
  EARLY_END_WINDOW,
  EndVerdict,
  validateEnd,
  detectFinish,
} from '../../../src/core/generation/index.js';

function tokensOf(...texts: string[]): Token[] {
  return texts.map((text, id) => ({id, text}));
}

const MANY = tokensOf(...Array.from({length: 40}, () => 'x'));

const FINISHES = [
  {name: 'no tokens', texts: [], maxTokens: 4, stop: [], finish: undefined},
  {
    name: 'too few tokens',
    texts: ['a'],
    maxTokens: 2,
    stop: ['b'],
    finish: undefined,
  },
  {
    name: 'max_tokens tokens',
    texts: ['a', 'b'],
    maxTokens: 2,
    stop: [],
    finish: FinishReason.LENGTH,
  },
  {
    name: 'a stop string over three tokens',
    texts: ['xa', 'b', 'cy'],
    maxTokens: 9,
    stop: ['abc'],
    finish: FinishReason.STOP,
  },
  {
    name: 'a stop string in the last of max_tokens tokens',
    texts: ['a', 'END'],
    maxTokens: 2,
    stop: ['END'],
    finish: FinishReason.STOP,
  },
  {
    name: 'an empty stop string',
    texts: ['a'],
    maxTokens: 2,
    stop: [''],
    finish: undefined,
  },
];

describe('detectFinish', () => {
  it.each(FINISHES)(
    'returns $finish for $name',
    ({texts, maxTokens, stop, finish}) => {
      const tokens = tokensOf(...texts);
      const detected = detectFinish({spec: {maxTokens, stop}, tokens});
      expect(detected).toBe(finish);
    },
  );
});

const ENDS = [
  {
    name: 'length at max_tokens',
    reason: FinishReason.LENGTH,
    maxTokens: 40,
    verdict: EndVerdict.ACCEPT,
  },
  {
    name: 'length before max_tokens',
    reason: FinishReason.LENGTH,
    maxTokens: 41,
    verdict: EndVerdict.BROKEN,
  },
  {
    name: 'an end at another length',
    reason: FinishReason.STOP,
    length: 39,
    verdict: EndVerdict.BROKEN,
  },
  {
    name: 'stop of a first attempt',
    reason: FinishReason.STOP,
    verdict: EndVerdict.ACCEPT,
  },
  {
    name: 'stop shortly after a resume',
    reason: FinishReason.STOP,
    resumePosition: 40 - EARLY_END_WINDOW,
    verdict: EndVerdict.CONFIRM,
  },
  {
    name: 'stop long after a resume',
    reason: FinishReason.STOP,
    resumePosition: 39 - EARLY_END_WINDOW,
    verdict: EndVerdict.ACCEPT,
  },
  {
    name: 'stop of a resume that adds nothing',
    reason: FinishReason.STOP,
    resumePosition: 40,
    verdict: EndVerdict.ACCEPT,
  },
  {
    name: 'stop shortly after a resume, with its stop string',
    reason: FinishReason.STOP,
    resumePosition: 35,
    stop: ['xx'],
    verdict: EndVerdict.ACCEPT,
  },
];

describe('validateEnd', () => {
  it.each(ENDS)('returns $verdict for $name', (row) => {
    const {reason, maxTokens = 99, length = 40, resumePosition = 0} = row;
    const verdict = validateEnd({
      end: {finishReason: reason, length},
      spec: {maxTokens, stop: row.stop ?? []},
      tokens: MANY,
      resumePosition,
    });
    expect(verdict).toBe(row.verdict);
  });
});

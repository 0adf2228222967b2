import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {
  stripServicePrefix,
  isSafeRequestTarget,
} from '../../src/adapters/callers/service-path.js';

const SEED = 20261204;

const TARGETS = [
  {target: '/services/stock/items/7?unit=bag', isSafe: true},
  {target: '/services/stock/a.b/..c/...', isPlain: true},
  {target: '/services/stock/100%25', isPlain: true},
  {target: '/services/stock/a%2Fb', isPlain: true},
  {target: '/services/stock?path=../x', isPlain: true},
  {target: '/services/stock//evil', isPlain: true},
  {target: '/services/stock/..', isPlain: false},
  {target: '/services/stock/.%2E/x', isPlain: false},
  {target: '/services/stock/%252e%252e/x', isPlain: false},
  {target: '/services/stock/a%2f..%2fx', isPlain: false},
  {target: '/services/stock/..;a=b/x', isPlain: false},
  {target: '/services/stock/%5C..', isPlain: false},
  {target: '/services/stock/%00', isPlain: false},
  {target: '/services/stock/%ff', isPlain: false},
];

describe('isPlainTarget', () => {
  it.each(TARGETS)('takes $target: $isPlain', ({target, isSafe}) => {
    expect(isSafeRequestTarget(target)).toBe(isSafe);
  });

  it('takes nothing that a URL parser leads out of the root', () => {
    const pieces = [
      '.',
      '..',
      '%2e',
      '%2E',
      '/',
      '//',
      '%2f',
      '%25',
      '2e',
      'a',
    ];
    const pathArb = fc
      .array(fc.constantFrom(...pieces, '\\', '%5c', ';', '?', '#'))
      .map((parts) => `/app/${parts.join('')}`);
    fc.assert(
      fc.property(pathArb, (path) => {
        if (!isSafeRequestTarget(path)) return;
        const parsed = new URL(`http://host${path}`);
        expect(parsed.host).toBe('host');
        expect(parsed.pathname.startsWith('/app/')).toBe(true);
      }),
      {seed: SEED, numRuns: 2_000},
    );
  });
});

const CUTS = [
  {target: '/services/stock/items/7?unit=bag', rest: '/items/7?unit=bag'},
  {target: '/services/stock', rest: ''},
  {target: '/services/stock?unit=bag', rest: '?unit=bag'},
  {target: '/services/stock//evil', rest: '//evil'},
  {target: '/services/st%6fck/services/x', rest: '/services/x'},
];

describe('cutServicePrefix', () => {
  it.each(CUTS)('leaves $rest of $target', ({target, rest}) => {
    expect(stripServicePrefix(target)).toBe(rest);
  });
});

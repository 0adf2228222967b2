import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {
  stripServicePrefix,
  isSafeRequestTarget,
} from '../../src/adapters/callers/service-path.js';

const SEED = 20261204;

const TARGETS = [
  {target: '/services/stock/items/7?unit=bag', isSafe: true},
  {target: '/services/stock/a.b/..c/...', isSafe: true},
  {target: '/services/stock/100%25', isSafe: true},
  {target: '/services/stock/a%2Fb', isSafe: true},
  {target: '/services/stock?path=../x', isSafe: true},
  {target: '/services/stock//evil', isSafe: true},
  {target: '/services/stock/..', isSafe: false},
  {target: '/services/stock/.%2E/x', isSafe: false},
  {target: '/services/stock/%252e%252e/x', isSafe: false},
  {target: '/services/stock/a%2f..%2fx', isSafe: false},
  {target: '/services/stock/..;a=b/x', isSafe: false},
  {target: '/services/stock/%5C..', isSafe: false},
  {target: '/services/stock/%00', isSafe: false},
  {target: '/services/stock/%ff', isSafe: false},
];

describe('isSafeRequestTarget', () => {
  it.each(TARGETS)('returns $isSafe for $target', ({target, isSafe}) => {
    expect(isSafeRequestTarget(target)).toBe(isSafe);
  });

  it('rejects targets that a URL parser resolves outside the root', () => {
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

const PREFIXED_TARGETS = [
  {target: '/services/stock/items/7?unit=bag', stripped: '/items/7?unit=bag'},
  {target: '/services/stock', stripped: ''},
  {target: '/services/stock?unit=bag', stripped: '?unit=bag'},
  {target: '/services/stock//evil', stripped: '//evil'},
  {target: '/services/st%6fck/services/x', stripped: '/services/x'},
];

describe('stripServicePrefix', () => {
  it.each(PREFIXED_TARGETS)(
    'returns $stripped for $target',
    ({target, stripped}) => {
      expect(stripServicePrefix(target)).toBe(stripped);
    },
  );
});

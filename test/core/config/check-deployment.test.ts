import {describe, expect, it} from 'vitest';

import {
  checkDeployment,
  ConfigErrorKind,
  resolveSiteConfig,
  parseStoredConfig,
} from '../../../src/core/config/index.js';
import {formatProblem} from '../../../src/core/yaml-check/index.js';

const KEY = 'a'.repeat(64);

const BASE = `deployment: demo
recovery: {weigh: latency}
services:
  drafts:
    kind: generation
    models: [writer]
    idempotent: true
  stock:
    kind: plain
    idempotent: true
clientAccounts:
  big: {keySha256: ${KEY}, maxConcurrent: 8}
`;

function listProblems(base: string, overlay = ''): string[] {
  return checkDeployment({
    baseFile: {file: 'base.yaml', text: base},
    overlayFiles: [{file: 'overlays/waw.yaml', text: overlay}],
  }).match(
    () => [],
    (error) => error.problems.map(formatProblem),
  );
}

/** Replaces one part of the base, which must contain it. */
function changeBase(from: string, to: string): string {
  expect(BASE).toContain(from);
  return BASE.replace(from, to);
}

const BASE_CASES = [
  {
    name: 'an unknown key, with the nearest known one',
    from: 'maxConcurrent: 8',
    to: 'maxConcurrent: 8, wieght: 2',
    problem:
      'base.yaml:12:104 clientAccounts.big.wieght: expected a known key (did you mean "weight"?), found unknown key "wieght"',
  },
  {
    name: 'a wrong type',
    from: 'weigh: latency',
    to: 'weigh: 7',
    problem:
      'base.yaml:2:19 recovery.weigh: expected one of latency, resources, found 7',
  },
  {
    name: 'a value out of range',
    from: 'maxConcurrent: 8',
    to: 'maxConcurrent: 0',
    problem:
      'base.yaml:12:101 clientAccounts.big.maxConcurrent: expected an integer from 1 to 100000 requests, found 0',
  },
  {
    name: 'a deadline below a second',
    from: 'idempotent: true\n  stock',
    to: 'idempotent: true\n    deadlineMs: 999\n  stock',
    problem:
      'base.yaml:8:17 services.drafts.deadlineMs: expected an integer from 1000 to 14400000 milliseconds, found 999',
  },
  {
    name: 'a missing key',
    from: 'deployment: demo\n',
    to: '',
    problem:
      'base.yaml:1:1 deployment: expected the name of the deployment, found nothing',
  },
  {
    name: 'a model listed by two services',
    from: '  stock:',
    to: '  notes: {kind: generation, models: [writer], idempotent: true}\n  stock:',
    problem:
      'base.yaml:8:38 services.notes.models.0: expected a model that no service serves yet, found "writer", which drafts serves',
  },
  {
    name: 'a generation service that is not idempotent',
    from: 'idempotent: true\n  stock',
    to: 'idempotent: false\n  stock',
    problem:
      'base.yaml:7:5 services.drafts.idempotent: expected true, as generations are resumed elsewhere, found false',
  },
  {
    name: 'a generation service without models',
    from: '    models: [writer]\n',
    to: '',
    problem:
      'base.yaml:5:5 services.drafts.models: expected at least one model in a generation service, found none',
  },
  {
    name: 'a plain service with models',
    from: 'kind: plain',
    to: 'kind: plain\n    models: [other]',
    problem:
      'base.yaml:10:5 services.stock.models: expected no models in a plain service, found 1',
  },
  {
    name: 'two accounts with one key',
    from: '  big:',
    to: `  small: {keySha256: ${KEY}, maxConcurrent: 1}\n  big:`,
    problem:
      'base.yaml:13:9 clientAccounts.big.keySha256: expected a key that no other client account has, found the key of small',
  },
  {
    name: 'an alias',
    from: 'weigh: latency',
    to: 'weigh: *other',
    problem:
      'base.yaml:2:19 recovery.weigh: expected a value, found the alias *other',
  },
];

const OVERLAY_CASES = [
  {name: 'an empty overlay', overlay: '', problems: []},
  {
    name: 'a changed limit',
    overlay: 'site: waw\nlimits:\n  queueLength: 9\n',
    problems: [],
  },
  {
    name: 'a site that differs from the file name',
    overlay: 'site: poz\n',
    problems: [
      'overlays/waw.yaml:1:7 site: expected "waw", the name of the file, found "poz"',
    ],
  },
  {
    name: 'a model that is served by two services only after merging',
    overlay:
      'services:\n  notes:\n    kind: generation\n    idempotent: true\n    models:\n      - writer\n',
    problems: [
      'overlays/waw.yaml:6:9 services.notes.models.0: expected a model that no service serves yet, found "writer", which drafts serves',
    ],
  },
  {
    name: 'a required key that is removed',
    overlay: 'site: waw\nrecovery:\n  weigh: null\n',
    problems: [
      'overlays/waw.yaml:3:3 recovery.weigh: expected one of latency, resources, found nothing',
    ],
  },
  {
    name: 'a service that is idempotent only at other sites',
    overlay: 'services:\n  stock:\n    idempotent: false\n',
    problems: [
      'overlays/waw.yaml:3:17 services.stock.idempotent: expected true, as at every other site, found false',
    ],
  },
  {
    name: 'two problems at once',
    overlay: 'limits:\n  queueLength: -1\n  maxToken: 3\n',
    problems: [
      'overlays/waw.yaml:3:3 limits.maxToken: expected a known key (did you mean "maxTokens"?), found unknown key "maxToken"',
      'overlays/waw.yaml:2:16 limits.queueLength: expected an integer from 0 to 100000 requests, found -1',
    ],
  },
];

describe('checkDeployment', () => {
  it.each(BASE_CASES)('reports $name', ({from, to, problem}) => {
    expect(listProblems(changeBase(from, to))).toContain(problem);
  });

  it.each(OVERLAY_CASES)('checks $name', ({overlay, problems}) => {
    expect(listProblems(BASE, overlay)).toEqual(problems);
  });

  it('reports malformed YAML at its line', () => {
    const [problem] = listProblems('a: 1\na: 2\n');
    expect(problem).toMatch(/^base\.yaml:2:1: expected valid YAML/);
  });
});

describe('resolveSiteConfig', () => {
  const document = {
    base: {},
    overlays: [{site: 'waw', content: {}}],
  };

  it.each([
    {site: 'waw', kind: ConfigErrorKind.INVALID},
    {site: 'poz', kind: ConfigErrorKind.UNKNOWN_SITE},
  ])('fails with $kind', ({site, kind}) => {
    const resolved = resolveSiteConfig({document, site});
    expect(resolved._unsafeUnwrapErr().kind).toBe(kind);
  });

  it.each([
    {name: 'null', value: null},
    {name: 'a value without nonce', value: {operator: 'a', document}},
    {
      name: 'a malformed overlay',
      value: {nonce: 'n', operator: 'a', document: {base: {}, overlays: [1]}},
    },
  ])('parses no stored configuration from $name', ({value}) => {
    expect(parseStoredConfig(value).isNothing()).toBe(true);
  });
});

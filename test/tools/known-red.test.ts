/** CI tolerates exactly the failures that KNOWN-RED.txt lists. */
import {describe, expect, it} from 'vitest';

import type {KnownRed} from '../../tools/ci/known-red.js';
import {matchesTest, parseKnownRed} from '../../tools/ci/known-red.js';
import type {RunResult} from '../../tools/ci/verdict.js';
import {formatVerdict, evaluateRun, TestState} from '../../tools/ci/verdict.js';
import {parseReport} from '../../tools/ci/vitest-report.js';

function createEntry(test: string): KnownRed {
  return {test, command: 'npm test', seen: '503', issue: 'issue 4'};
}

function createRun(
  fields: Partial<RunResult> & {failed?: string[]},
): RunResult {
  const {failed = [], ...rest} = fields;
  const tests = [
    {test: 'a > passes', state: TestState.PASSED},
    ...failed.map((test) => ({test, state: TestState.FAILED})),
  ];
  return {
    tests,
    failedFiles: [],
    runnerSucceeded: failed.length === 0,
    ...rest,
  };
}

const LISTS = [
  {name: 'an empty list', text: '', entries: 0, malformed: 0},
  {name: 'comments', text: '# mend first\n\n', entries: 0, malformed: 0},
  {
    name: 'an entry',
    text: 'a > b | npm test | 503 | 4',
    entries: 1,
    malformed: 0,
  },
  {
    name: 'a missing field',
    text: 'a > b | npm test | 503',
    entries: 0,
    malformed: 1,
  },
  {name: 'an empty field', text: 'a > b | | 503 | 4', entries: 0, malformed: 1},
  {
    name: 'a pattern that matches all tests',
    text: '* | npm test | 503 | 4',
    entries: 0,
    malformed: 1,
  },
];

describe('parseKnownRed', () => {
  it.each(LISTS)(
    'returns the entries or malformed lines of $name',
    ({text, entries, malformed}) => {
      const parsed = parseKnownRed(text);
      expect(parsed.map((list) => list.length).unwrapOr(0)).toBe(entries);
      expect(parsed.isErr() ? parsed.error.length : 0).toBe(malformed);
    },
  );
});

const NAMES = [
  {pattern: 'a > b', test: 'a > b', matches: true},
  {pattern: 'a > b', test: 'a > b c', matches: false},
  {pattern: 'a > *', test: 'a > b c', matches: true},
  {pattern: 'a.b', test: 'axb', matches: false},
];

describe('matchesTest', () => {
  it.each(NAMES)(
    'returns $matches for the entry "$pattern" and the test "$test"',
    ({pattern, test, matches}) => {
      expect(matchesTest({entry: createEntry(pattern), test})).toBe(matches);
    },
  );
});

const RUNS = [
  {
    name: 'all tests pass',
    run: createRun({}),
    known: [],
    problems: 0,
    failed: 0,
  },
  {
    name: 'an unlisted test fails',
    run: createRun({failed: ['b']}),
    known: [],
    problems: 1,
    failed: 1,
  },
  {
    name: 'a listed test fails',
    run: createRun({failed: ['b']}),
    known: ['b'],
    problems: 0,
    failed: 1,
  },
  {
    name: 'a listed and an unlisted test fail',
    run: createRun({failed: ['b', 'c']}),
    known: ['b'],
    problems: 1,
    failed: 2,
  },
  {
    name: 'a listed test passes',
    run: createRun({}),
    known: ['a > *'],
    problems: 0,
    failed: 0,
  },
  {
    name: 'an entry matches no test',
    run: createRun({}),
    known: ['z'],
    problems: 1,
    failed: 0,
  },
  {
    name: 'a file fails outside of its tests',
    run: createRun({failedFiles: ['x.test.ts'], runnerSucceeded: false}),
    known: ['a > *'],
    problems: 1,
    failed: 1,
  },
  {
    name: 'a test is skipped',
    run: createRun({
      tests: [
        {test: 'a > passes', state: TestState.PASSED},
        {test: 'b', state: TestState.NOT_RUN},
      ],
    }),
    known: ['b'],
    problems: 1,
    failed: 0,
  },
  {
    name: 'the runner fails for another reason',
    run: createRun({runnerSucceeded: false}),
    known: [],
    problems: 1,
    failed: 0,
  },
  {
    name: 'no test ran',
    run: createRun({tests: []}),
    known: [],
    problems: 1,
    failed: 0,
  },
];

describe('evaluateRun', () => {
  it.each(RUNS)(
    'counts problems and failures when $name',
    ({run, known, problems, failed}) => {
      const verdict = evaluateRun({run, known: known.map(createEntry)});
      expect(verdict.problems).toHaveLength(problems);
      expect(verdict.failed).toBe(failed);
    },
  );

  it('prints tolerated failures, and only the counts on the last line', () => {
    const run = createRun({failed: ['b']});
    const text = formatVerdict(evaluateRun({run, known: [createEntry('b')]}));
    const lines = text.trimEnd().split('\n');
    expect(lines[0]).toBe('known red: b (npm test; seen: 503; issue 4)');
    expect(lines.at(-1)).toBe('Tests: 1 passed, 1 failed');
  });
});

describe('parseReport', () => {
  it('converts tests, and files that failed outside of their tests', () => {
    const pass = {ancestorTitles: ['', 'a'], title: 'b', status: 'passed'};
    const skipped = {ancestorTitles: [], title: 'c', status: 'skipped'};
    const report = {
      testResults: [
        {name: 'x', status: 'passed', assertionResults: [pass]},
        {name: 'y', status: 'failed', assertionResults: [skipped]},
      ],
    };
    const run = parseReport({report, runnerSucceeded: false})._unsafeUnwrap();
    expect(run.tests).toEqual([
      {test: 'a > b', state: TestState.PASSED},
      {test: 'c', state: TestState.NOT_RUN},
    ]);
    expect(run.failedFiles).toEqual(['y']);
  });

  it('rejects a malformed report', () => {
    expect(parseReport({report: {}, runnerSucceeded: true}).isErr()).toBe(true);
  });
});

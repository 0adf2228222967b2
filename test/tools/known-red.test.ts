import {describe, expect, it} from 'vitest';

import type {KnownRed} from '../../tools/ci/known-red.js';
import {matchesTest, parseKnownRed} from '../../tools/ci/known-red.js';
import type {RunResult} from '../../tools/ci/verdict.js';
import {formatVerdict, evaluateRun, TestState} from '../../tools/ci/verdict.js';
import {parseReport} from '../../tools/ci/vitest-report.js';

function entryOf(test: string): KnownRed {
  return {test, command: 'npm test', seen: '503', issue: 'issue 4'};
}

function runOf(fields: Partial<RunResult> & {failed?: string[]}): RunResult {
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
  {name: 'an empty list', text: '', entries: 0, bad: 0},
  {name: 'comments', text: '# mend first\n\n', entries: 0, bad: 0},
  {name: 'an entry', text: 'a > b | npm test | 503 | 4', entries: 1, bad: 0},
  {name: 'a missing field', text: 'a > b | npm test | 503', entries: 0, bad: 1},
  {name: 'an empty field', text: 'a > b | | 503 | 4', entries: 0, bad: 1},
  {
    name: 'a pattern that matches all tests',
    text: '* | npm test | 503 | 4',
    entries: 0,
    bad: 1,
  },
];

describe('parseKnownRed', () => {
  it.each(LISTS)('reads $name', ({text, entries, bad}) => {
    const parsed = parseKnownRed(text);
    expect(parsed.map((list) => list.length).unwrapOr(0)).toBe(entries);
    expect(parsed.isErr() ? parsed.error.length : 0).toBe(bad);
  });
});

const NAMES = [
  {pattern: 'a > b', test: 'a > b', named: true},
  {pattern: 'a > b', test: 'a > b c', named: false},
  {pattern: 'a > *', test: 'a > b c', named: true},
  {pattern: 'a.b', test: 'axb', named: false},
];

describe('matchesTest', () => {
  it.each(NAMES)('$pattern, $test: $named', ({pattern, test, named}) => {
    expect(matchesTest({entry: entryOf(pattern), test})).toBe(named);
  });
});

const RUNS = [
  {name: 'all tests pass', run: runOf({}), known: [], faults: 0, failed: 0},
  {
    name: 'an unlisted test fails',
    run: runOf({failed: ['b']}),
    known: [],
    faults: 1,
    failed: 1,
  },
  {
    name: 'a listed test fails',
    run: runOf({failed: ['b']}),
    known: ['b'],
    faults: 0,
    failed: 1,
  },
  {
    name: 'a listed and an unlisted test fail',
    run: runOf({failed: ['b', 'c']}),
    known: ['b'],
    faults: 1,
    failed: 2,
  },
  {
    name: 'a listed test passes',
    run: runOf({}),
    known: ['a > *'],
    faults: 0,
    failed: 0,
  },
  {
    name: 'an entry matches no test',
    run: runOf({}),
    known: ['z'],
    faults: 1,
    failed: 0,
  },
  {
    name: 'a file fails outside of its tests',
    run: runOf({failedFiles: ['x.test.ts'], runnerSucceeded: false}),
    known: ['a > *'],
    faults: 1,
    failed: 1,
  },
  {
    name: 'a test is skipped',
    run: runOf({
      tests: [
        {test: 'a > passes', state: TestState.PASSED},
        {test: 'b', state: TestState.NOT_RUN},
      ],
    }),
    known: ['b'],
    faults: 1,
    failed: 0,
  },
  {
    name: 'the runner fails for another reason',
    run: runOf({runnerSucceeded: false}),
    known: [],
    faults: 1,
    failed: 0,
  },
  {
    name: 'no test ran',
    run: runOf({tests: []}),
    known: [],
    faults: 1,
    failed: 0,
  },
];

describe('evaluateRun', () => {
  it.each(RUNS)('when $name', ({run, known, faults, failed}) => {
    const verdict = evaluateRun({run, known: known.map(entryOf)});
    expect(verdict.problems).toHaveLength(faults);
    expect(verdict.failed).toBe(failed);
  });

  it('prints tolerated failures, and only the counts on the last line', () => {
    const run = runOf({failed: ['b']});
    const text = formatVerdict(evaluateRun({run, known: [entryOf('b')]}));
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

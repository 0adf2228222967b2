/** Checks the results of all tests against the list of known failures. */
import type {KnownRed} from './known-red.js';
import {matchesTest} from './known-red.js';

/** Result of a test. */
export enum TestState {
  PASSED = 'passed',
  FAILED = 'failed',
  /** Skipped, or not started because its file or set-up failed. */
  NOT_RUN = 'not_run',
}

/** A test and its result. */
export interface TestResult {
  /** Titles of its groups and its own title, separated by ` > `. */
  readonly test: string;
  readonly state: TestState;
}

/** Results of a run of all tests. */
export interface RunResult {
  readonly tests: readonly TestResult[];
  /** Test files that failed outside of their tests. */
  readonly failedFiles: readonly string[];
  /** Whether the test runner exited with status 0. */
  readonly runnerSucceeded: boolean;
}

/** Verdict of CI on a run. */
export interface Verdict {
  readonly passed: number;
  readonly failed: number;
  /** Entries of KNOWN-RED.txt whose tests failed, which CI tolerates. */
  readonly tolerated: readonly KnownRed[];
  /** Entries of KNOWN-RED.txt whose tests no longer fail. */
  readonly nowPassing: readonly KnownRed[];
  /** Reasons why CI fails; empty for a successful run. */
  readonly problems: readonly string[];
}

/**
 * Evaluates a run: every failure must have an entry in KNOWN-RED.txt, every
 * entry must match a test, and every test must run.
 *
 * @example
 * evaluateRun({run, known}).problems.length === 0;
 */
export function evaluateRun(options: {
  run: RunResult;
  known: readonly KnownRed[];
}): Verdict {
  const {run, known} = options;
  const byState = (state: TestState): string[] =>
    run.tests.filter((t) => t.state === state).map((t) => t.test);
  const failed = byState(TestState.FAILED);
  const isListed = (test: string): boolean =>
    known.some((entry) => matchesTest({entry, test}));
  const matchesAny = (entry: KnownRed, tests: readonly string[]): boolean =>
    tests.some((test) => matchesTest({entry, test}));
  const all = run.tests.map(({test}) => test);
  const unmatched = known.filter((entry) => !matchesAny(entry, all));
  const problems = [
    ...failed.filter((test) => !isListed(test)).map((t) => `failed: ${t}`),
    ...run.failedFiles.map((file) => `failed outside of its tests: ${file}`),
    ...byState(TestState.NOT_RUN).map((test) => `not run: ${test}`),
    ...unmatched.map(({test}) => `listed, but no such test: ${test}`),
  ];
  // Failed tests and files make the runner exit with an error, too.
  const isExplained = failed.length > 0 || problems.length > 0;
  if (!run.runnerSucceeded && !isExplained)
    problems.push('the runner reports an error');
  if (all.length === 0) problems.push('no test ran');
  return {
    passed: byState(TestState.PASSED).length,
    failed: failed.length + run.failedFiles.length,
    tolerated: known.filter((entry) => matchesAny(entry, failed)),
    nowPassing: known.filter(
      (entry) => matchesAny(entry, all) && !matchesAny(entry, failed),
    ),
    problems,
  };
}

/**
 * Formats a verdict as text; the last line contains the test counts.
 *
 * @example
 * process.stdout.write(formatVerdict(verdict));
 */
export function formatVerdict(verdict: Verdict): string {
  const {passed, failed, tolerated, nowPassing, problems} = verdict;
  const lines = [
    ...tolerated.map(
      ({test, command, seen, issue}) =>
        `known red: ${test} (${command}; seen: ${seen}; ${issue})`,
    ),
    ...nowPassing.map(({test}) => `known red, but passed: ${test}`),
    ...problems,
    `Tests: ${passed} passed, ${failed} failed`,
  ];
  return `${lines.join('\n')}\n`;
}

/** Judges a run of all tests against the list of known failures. */
import type {KnownRed} from './known-red.js';
import {matchesTest} from './known-red.js';

/** How one test ended. */
export enum TestState {
  PASSED = 'passed',
  FAILED = 'failed',
  /** Skipped, or never begun since its file or its set-up failed. */
  NOT_RUN = 'not_run',
}

/** One test of a run. */
export interface TestResult {
  /** Names of its groups and its own, parted by ` > `. */
  readonly test: string;
  readonly state: TestState;
}

/** What a run of all tests left. */
export interface RunResult {
  readonly tests: readonly TestResult[];
  /** Files that failed outside of their tests. */
  readonly failedFiles: readonly string[];
  /** Whether the runner itself ended without complaint. */
  readonly runnerSucceeded: boolean;
}

/** What CI says of a run. */
export interface Verdict {
  readonly passed: number;
  readonly failed: number;
  /** Listed failures that CI passes over. */
  readonly tolerated: readonly KnownRed[];
  /** Listed tests that all pass now. */
  readonly nowPassing: readonly KnownRed[];
  /** Why the run is refused; empty for a green run. */
  readonly problems: readonly string[];
}

/**
 * Judges a run: every failure has to be listed, every entry has to name a
 * test, and every test has to run.
 *
 * @example
 * judge({run, known}).faults.length === 0;
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
  const names = (entry: KnownRed, tests: readonly string[]): boolean =>
    tests.some((test) => matchesTest({entry, test}));
  const all = run.tests.map(({test}) => test);
  const unknown = known.filter((entry) => !names(entry, all));
  const problems = [
    ...failed.filter((test) => !isListed(test)).map((t) => `failed: ${t}`),
    ...run.failedFiles.map((file) => `failed outside of its tests: ${file}`),
    ...byState(TestState.NOT_RUN).map((test) => `not run: ${test}`),
    ...unknown.map(({test}) => `listed, but no such test: ${test}`),
  ];
  const isExplained = failed.length > 0 || problems.length > 0;
  if (!run.runnerSucceeded && !isExplained)
    problems.push('the runner reports an error');
  if (all.length === 0) problems.push('no test ran');
  return {
    passed: byState(TestState.PASSED).length,
    failed: failed.length + run.failedFiles.length,
    tolerated: known.filter((entry) => names(entry, failed)),
    nowPassing: known.filter(
      (entry) => names(entry, all) && !names(entry, failed),
    ),
    problems,
  };
}

/** Writes a verdict; its last line counts the tests. */
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

/** Parser of the JSON report of Vitest. */
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import {array, Codec, optional, string} from 'purify-ts';

import type {RunResult, TestResult} from './verdict.js';
import {TestState} from './verdict.js';

const SEPARATOR = ' > ';

const REPORT = Codec.interface({
  testResults: array(
    Codec.interface({
      name: string,
      status: string,
      message: optional(string),
      assertionResults: array(
        Codec.interface({
          ancestorTitles: array(string),
          title: string,
          status: string,
        }),
      ),
    }),
  ),
});

/**
 * Converts the JSON report of a run; fails with the reason if it is malformed.
 *
 * @example
 * parseReport({report: JSON.parse(text), runnerSucceeded: status === 0});
 */
export function parseReport(options: {
  report: unknown;
  runnerSucceeded: boolean;
}): Result<RunResult, string> {
  const {report, runnerSucceeded} = options;
  return REPORT.decode(report).caseOf<Result<RunResult, string>>({
    Left: (detail) => err(detail),
    Right: ({testResults}) => {
      const files = testResults.map((file) => ({
        name: file.name,
        hasFailed: file.status === 'failed',
        tests: file.assertionResults.map(toTestResult),
      }));
      const failedFiles = files
        .filter(({hasFailed, tests}) => hasFailed && !tests.some(isFailed))
        .map(({name}) => name);
      const tests = files.flatMap((file) => file.tests);
      return ok({tests, failedFiles, runnerSucceeded});
    },
  });
}

function toTestResult(result: {
  ancestorTitles: string[];
  title: string;
  status: string;
}): TestResult {
  const {ancestorTitles, title, status} = result;
  const titles = [...ancestorTitles, title].filter((name) => name !== '');
  return {test: titles.join(SEPARATOR), state: stateOf(status)};
}

function stateOf(status: string): TestState {
  if (status === 'passed') return TestState.PASSED;
  return status === 'failed' ? TestState.FAILED : TestState.NOT_RUN;
}

function isFailed({state}: TestResult): boolean {
  return state === TestState.FAILED;
}

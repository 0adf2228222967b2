/** Runs all tests and checks the failures against KNOWN-RED.txt. */
import {spawn} from 'node:child_process';
import {existsSync, mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

import {ROOT} from '../lab/paths.js';
import {parseKnownRed} from './known-red.js';
import {formatVerdict, evaluateRun} from './verdict.js';
import {parseReport} from './vitest-report.js';

const KNOWN_RED = new URL('KNOWN-RED.txt', ROOT);
const VITEST = new URL('node_modules/vitest/vitest.mjs', ROOT);

process.exitCode = (await main()) ? 0 : 1;

async function main(): Promise<boolean> {
  const text = existsSync(KNOWN_RED) ? readFileSync(KNOWN_RED, 'utf8') : '';
  const known = parseKnownRed(text);
  if (known.isErr()) {
    return failRun(`KNOWN-RED.txt: malformed: ${known.error.join('; ')}`);
  }
  const folder = mkdtempSync(join(tmpdir(), 'plantainrill-ci-'));
  try {
    const file = join(folder, 'report.json');
    const status = await runTests(file);
    if (!existsSync(file)) return failRun('the test runner wrote no report');
    const report = JSON.parse(readFileSync(file, 'utf8')) as unknown;
    const run = parseReport({report, runnerSucceeded: status === 0});
    if (run.isErr()) return failRun(`the report is malformed: ${run.error}`);
    const verdict = evaluateRun({run: run.value, known: known.value});
    process.stdout.write(formatVerdict(verdict));
    return verdict.problems.length === 0;
  } finally {
    rmSync(folder, {recursive: true});
  }
}

/** Runs all tests; resolves to the exit status, null after a signal. */
function runTests(reportFile: string): Promise<number | null> {
  const reporters = ['--reporter=default', '--reporter=json'];
  const output = `--outputFile.json=${reportFile}`;
  const args = [fileURLToPath(VITEST), 'run', ...reporters, output];
  const child = spawn(process.execPath, args, {
    cwd: fileURLToPath(ROOT),
    stdio: 'inherit',
  });
  return new Promise((resolve) => {
    child.on('close', (status) => resolve(status));
  });
}

/** Prints why the run failed, and counts on the last line as a verdict has. */
function failRun(reason: string): false {
  process.stdout.write(`${reason}\nTests: 0 passed, 1 failed\n`);
  return false;
}

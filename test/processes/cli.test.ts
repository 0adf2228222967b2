/** The command-line tool as a process, against real daemons. */
import {spawn} from 'node:child_process';
import {
  cpSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

import {afterAll, beforeAll, describe, expect, it} from 'vitest';

import {ExitStatus} from '../../src/cli/types.js';
import {RefusalReason} from '../../src/core/errors/index.js';
import {DEMO_KEY} from '../../tools/lab/caller.js';
import {sendControl, waitUntil} from '../../tools/lab/lab.js';
import {DIST, EXAMPLES} from '../../tools/lab/paths.js';
import type {Target} from '../../tools/lab/site.js';
import {Site} from '../../tools/lab/site.js';
import {expectedText, readCounts} from '../support/callers.js';

const TOOL = fileURLToPath(new URL('src/cli/main.js', DIST));
const QUICKSTART = fileURLToPath(new URL('quickstart/', EXAMPLES));
const PACE_MS = 20;

interface ToolRun {
  readonly status: number | null;
  readonly out: string;
  readonly err: string;
}

let site: Site;
let files: string;

beforeAll(async () => {
  files = mkdtempSync(join(tmpdir(), 'plantainrill-'));
  cpSync(QUICKSTART, files, {recursive: true});
  site = await Site.create({
    entries: 2,
    engines: 2,
    orders: 1,
    stock: 2,
    engineFlags: {'pace-ms': PACE_MS},
  });
});

afterAll(async () => {
  await site?.close();
  rmSync(files, {recursive: true});
});

function runTool(
  args: readonly string[],
  onOut: (out: string) => void = () => undefined,
): Promise<ToolRun> {
  const child = spawn(process.execPath, [TOOL, ...args], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  let out = '';
  let err = '';
  child.stdout.on('data', (chunk: Buffer) => {
    out += chunk.toString();
    onOut(out);
  });
  child.stderr.on('data', (chunk: Buffer) => (err += chunk.toString()));
  return new Promise((resolve) => {
    child.on('close', (status) => resolve({status, out, err}));
  });
}

async function runJson<T>(args: readonly string[]): Promise<[T, ToolRun]> {
  const run = await runTool([...args, '--json']);
  return [JSON.parse(run.out) as T, run];
}

function entryUrls(): string {
  return site.entries.map((entry) => entry.callersUrl).join(',');
}

function callArgs(
  service: string,
  path: string,
  ...extraArgs: string[]
): string[] {
  const entry = site.entries[0]!.callersUrl;
  const target = ['--service', service, '--path', path];
  return ['call', '--entry', entry, '--key', DEMO_KEY, ...target, ...extraArgs];
}

function generateArgs(prompt: string, tokens: number): string[] {
  const count = ['--max-tokens', String(tokens)];
  const promptArgs = ['--model', 'quote-writer', '--prompt', prompt, ...count];
  return ['generate', '--entry', entryUrls(), '--key', DEMO_KEY, ...promptArgs];
}

function editBase(from: string, to: string): void {
  const path = join(files, 'base.yaml');
  const text = readFileSync(path, 'utf8');
  expect(text).toContain(from);
  writeFileSync(path, text.replace(from, to));
}

describe('configuration', () => {
  it('is checked, compared, accepted and active at every entry', async () => {
    const platform = ['--platform', site.platform.url];
    const checked = await runTool(['check', '-f', files]);
    expect(checked.status).toBe(ExitStatus.OK);

    editBase('deadlineMs: 5000', 'deadlineMs: 4000');
    const [diff] = await runJson<{version: number; changes: unknown[]}>([
      'diff',
      '-f',
      files,
      ...platform,
    ]);
    expect([diff.version, diff.changes.length]).toEqual([1, 1]);

    const apply = ['apply', '-f', files, ...platform, '--operator', 'anna'];
    const [accepted] = await runJson<{version: number}>(apply);
    expect(accepted.version).toBeGreaterThan(1);

    const operators = site.entries.map((entry) => entry.operatorsUrl).join(',');
    const status = ['status', '--operators', operators];
    await waitUntil({
      what: 'the version is active at both entries',
      timeoutMs: 60_000,
      check: async () => {
        const [rows] =
          await runJson<Array<{status: {configVersion: number}}>>(status);
        const versions = rows.map((row) => row.status.configVersion);
        return versions.every((version) => version === accepted.version);
      },
    });
    const table = await runTool(status);
    expect(table.out).toMatch(/entry-1 +entry +waw +yes +no/);
  });

  it('conflicts with another operator: status 3 and the difference', async () => {
    editBase('maxConcurrent: 64', 'maxConcurrent: 63');
    const platform = ['--platform', site.platform.url];
    const expected = ['--expect-version', '1'];
    const run = await runTool(['apply', '-f', files, ...platform, ...expected]);
    expect(run.status).toBe(ExitStatus.CONFLICT);
    expect(run.err).toMatch(/maxConcurrent/);
    expect(run.err).toMatch(/anna holds version/);
  });

  it('with an error is refused with file, line and path, status 2', async () => {
    editBase('kind: generation', 'kind: generator');
    for (const command of ['check', 'apply', 'diff']) {
      const platform = ['--platform', site.platform.url];
      const platformArgs = command === 'check' ? [] : platform;
      const run = await runTool([command, '-f', files, ...platformArgs]);
      expect(run.status).toBe(ExitStatus.BAD_INPUT);
      expect(run.out + run.err).toMatch(/base\.yaml:7.*services\.drafts\.kind/);
    }
  });
});

describe('call', () => {
  it('books once for one key', async () => {
    const booking = ['--method', 'post', '--body', '{"pallets":2}'];
    const key = ['--idempotency-key', 'cli-1'];
    const args = callArgs('orders', '/bookings', ...booking, ...key);
    const before = await readCounts(site);
    const first = await runTool(args);
    const second = await runTool(args);
    expect([first.status, second.status]).toEqual([0, 0]);
    expect(second.out).toBe(first.out);
    expect((await readCounts(site)).bookings).toBe(before.bookings + 1);
  });

  it('reports a refusal with status 4, also as JSON', async () => {
    const args = callArgs('nobody', '/x');
    const run = await runTool(args);
    expect([run.status, run.out]).toEqual([ExitStatus.REFUSED, '']);
    expect(run.err).toMatch(/refused: 404 unknown_service \(ran: no\)/);
    const [report, asJson] = await runJson<{problem: {reason: string}}>(args);
    expect(asJson.status).toBe(ExitStatus.REFUSED);
    expect(report.problem.reason).toBe(RefusalReason.UNKNOWN_SERVICE);
  });

  it('sends its deadline, so that the entry aborts the call', async () => {
    // A slow service still responds to probes, so the call is sent.
    const setFault = (kind: string) => (target: Target) =>
      sendControl({
        url: `${target.standIn.url}/faults`,
        method: 'POST',
        body: {kind, factor: 2_000},
      });
    await Promise.all(site.stock.map(setFault('slow')));
    const args = callArgs('stock', '/stock/pumice', '--deadline', '600');
    const [report, run] = await runJson<{problem: {ran: string}}>(args);
    await Promise.all(site.stock.map(setFault('none')));
    expect(run.status).toBe(ExitStatus.REFUSED);
    expect(report.problem.ran).toBe('unknown');
  });

  it('fails with status 1 where nothing listens', async () => {
    const args = ['--key', 'k', '--service', 's', '--path', '/'];
    const entry = ['--entry', 'http://127.0.0.1:1'];
    const run = await runTool(['call', ...entry, ...args]);
    expect(run.status).toBe(ExitStatus.FAILED);
    expect(run.err).toContain('ran: no');
  });
});

describe('generate', () => {
  it('resumes automatically when its entry is killed', async () => {
    const tokens = 150;
    const prompt = `Hoop schedule for Cognac [length=${tokens}]`;
    const expected = expectedText(prompt, tokens);
    let isKilled = false;
    const run = await runTool(generateArgs(prompt, tokens), (out) => {
      if (isKilled || out.length < expected.length / 3) return;
      isKilled = true;
      site.entries[0]!.proc.kill();
    });
    expect([isKilled, run.status]).toEqual([true, ExitStatus.OK]);
    expect(run.err).toContain('trying again');
    expect(run.err).not.toContain('starts over');
    expect(run.out).toBe(`${expected}\n`);
  });

  it('writes the complete output as JSON', async () => {
    const prompt = 'A note on fitting';
    const [report, run] = await runJson<object>(generateArgs(prompt, 20));
    expect(run.status).toBe(ExitStatus.OK);
    expect(report).toMatchObject({
      text: expectedText(prompt, 20),
      finishReason: 'length',
      restarts: 0,
    });
  });
});

describe('drain', () => {
  it('waits until the process has exited', async () => {
    const {operatorsUrl, proc} = site.stock[1]!.agent;
    const args = ['drain', '--operators', operatorsUrl, '--wait', '--json'];
    const run = await runTool(args);
    expect(run.status).toBe(ExitStatus.OK);
    const states = run.out
      .trim()
      .split('\n')
      .map((line) => (JSON.parse(line) as {state: string}).state);
    expect(states).toEqual(['draining', 'gone']);
    expect(await proc.exited).toBe(0);
  });
});

describe('status', () => {
  it('is 1 when a process does not respond', async () => {
    const {operatorsUrl} = site.entries[1]!;
    const urls = `${operatorsUrl},http://127.0.0.1:1`;
    const run = await runTool(['status', '--operators', urls]);
    expect(run.status).toBe(ExitStatus.FAILED);
    expect(run.out).toMatch(/entry-2/);
    expect(run.out).toMatch(/no answer/);
  });
});

describe('the command line', () => {
  it.each([
    [['--help'], ExitStatus.OK],
    [['generate', '--help'], ExitStatus.OK],
    [['nonsense'], ExitStatus.BAD_INPUT],
    [['call', '--entry', 'no-url'], ExitStatus.BAD_INPUT],
    [['generate', '--deadline', '0'], ExitStatus.BAD_INPUT],
  ])('%j ends with status %i', async (args, status) => {
    expect((await runTool(args)).status).toBe(status);
  });
});

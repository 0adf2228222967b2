import {mkdirSync, mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {afterAll, describe, expect, it} from 'vitest';

import {ExitStatus} from '../../src/cli/types.js';
import {runTool} from './lib/run-tool.js';

const dir = mkdtempSync(join(tmpdir(), 'check-'));
mkdirSync(join(dir, 'overlays'));
writeFileSync(join(dir, 'base.yaml'), 'deployment: 7\n');
writeFileSync(join(dir, 'overlays', 'waw.yaml'), 'site: waw\n');

afterAll(() => rmSync(dir, {recursive: true}));

const CASES = [
  {
    name: 'a valid deployment',
    args: ['check', '-f', 'examples/cerclerie-kerandel'],
    status: ExitStatus.OK,
    text: /^cognac +resources +schedules,notes,confirmations,stock +schedules,notes +10$/m,
  },
  {
    name: 'problems',
    args: ['check', '-f', dir],
    status: ExitStatus.BAD_INPUT,
    text: /base\.yaml:1:13 deployment: expected the name of the deployment, found 7\n/,
  },
  {
    name: 'problems as JSON',
    args: ['check', '-f', dir, '--json'],
    status: ExitStatus.BAD_INPUT,
    text: /"path": "deployment"/,
  },
  {
    name: 'a missing directory',
    args: ['check', '-f', join(dir, 'absent')],
    status: ExitStatus.BAD_INPUT,
    text: /Configuration unreadable/,
  },
  {
    name: 'a missing option',
    args: ['check'],
    status: ExitStatus.BAD_INPUT,
    text: /required option/,
  },
  {
    name: 'an unknown command',
    args: ['chekc'],
    status: ExitStatus.BAD_INPUT,
    text: /unknown command/,
  },
  {
    name: 'the help of a command',
    args: ['apply', '--help'],
    status: ExitStatus.OK,
    text: /Examples:[^]+Exit status:/,
  },
];

describe('check', () => {
  it.each(CASES)('reports $name', async ({args, status, text}) => {
    const result = await runTool(args);
    expect(result.status).toBe(status);
    expect(result.out + result.err).toMatch(text);
  });
});

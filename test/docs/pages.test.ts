/** Checks that the docs match the code, and the rules for repository files. */
import {existsSync, readdirSync, readFileSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

import {describe, expect, it} from 'vitest';

import {COMMANDS} from '../../src/cli/commands/index.js';
import {ExitStatus} from '../../src/cli/types.js';
import {
  REFUSALS,
  RefusalReason,
  RetryReason,
} from '../../src/core/errors/index.js';
import {CounterName, LatencyName} from '../../src/core/metrics/index.js';
import {TransportErrorKind} from '../../src/core/protocol/index.js';
import {ROOT} from '../../tools/lab/paths.js';
import {runTool} from '../cli/lib/run-tool.js';

const ROOT_PATH = fileURLToPath(ROOT);

const SKIPPED: ReadonlySet<string> = new Set(['.git', 'node_modules', 'dist']);

const PAGES = listFiles().filter((file) => file.endsWith('.md'));

/** Lists all files except installed and built ones. */
function listFiles(folder = ''): string[] {
  const options = {withFileTypes: true} as const;
  return readdirSync(join(ROOT_PATH, folder), options).flatMap((entry) => {
    const path = join(folder, entry.name);
    if (SKIPPED.has(entry.name)) return [];
    return entry.isDirectory() ? listFiles(path) : [path];
  });
}

function read(file: string): string {
  return readFileSync(join(ROOT_PATH, file), 'utf8');
}

describe('docs/operators/refusals.md', () => {
  const page = read('docs/operators/refusals.md').replace(/ +/g, ' ');

  it.each(Object.values(RefusalReason))('documents %s', (reason) => {
    const {data, status} = REFUSALS[reason];
    const row = `| \`${reason}\` | ${status} | ${data.message} | ${data.hint} | `;
    expect(page).toContain(row);
  });
});

describe('docs/operators/metrics.md', () => {
  const page = read('docs/operators/metrics.md');
  const names = [
    ...Object.values(RetryReason),
    ...Object.values(CounterName),
    ...Object.values(LatencyName),
    ...Object.values(TransportErrorKind),
  ];

  it.each(names)('documents %s', (name) => {
    expect(page).toContain(`\`${name}\``);
  });
});

describe('docs/operators/cli.md', () => {
  const page = read('docs/operators/cli.md').replace(/ +/g, ' ');

  it('documents each command', async () => {
    const {out} = await runTool(['--help']);
    const commands = [...out.matchAll(/^ {2}([a-z-]+) \[/gm)].map((m) => m[1]);
    const commandNames = commands.filter((name) => name !== 'help');
    expect(commandNames).toHaveLength(COMMANDS.length);
    for (const name of commandNames) expect(page).toContain(`| \`${name}\` |`);
  });

  it('documents each exit status', () => {
    const statuses = Object.values(ExitStatus).filter(Number.isInteger);
    for (const status of statuses) expect(page).toContain(`| ${status} | `);
  });
});

describe('pages', () => {
  it.each(PAGES)('%s links to pages that exist', (file) => {
    const links = [...read(file).matchAll(/\]\(([^)#:]+\.md)(#[^)]*)?\)/g)];
    const targets = links.map(([, link]) => join(dirname(file), link!));
    const missing = targets.filter(
      (link) => !existsSync(join(ROOT_PATH, link)),
    );
    expect(missing).toEqual([]);
  });
});

/** Absolute folders of a machine; assembled so that this file has none. */
const MACHINE_PATHS = ['home', 'work', 'root', 'Users', 'tmp']
  .map((folder) => `(?<![\\w.\\-}])/${folder}/`)
  .join('|');

const REGISTRIES = ['npmjs', 'yarnpkg', 'jsr', 'npmmirror']
  .map((name) => `${name}\\.(?:org|com|io)`)
  .join('|');

const NOTICES = ['copyright', 'spdx', 'licensed under'].join('|');

const RULES = [
  {name: 'absolute path of a machine', pattern: MACHINE_PATHS, files: /./},
  {name: 'host of a package registry', pattern: REGISTRIES, files: /./},
  {name: 'copyright notice in a source file', pattern: NOTICES, files: /\.ts$/},
];

const THIS_FILE = 'test/docs/pages.test.ts';

describe('the repository contains no', () => {
  const files = listFiles().filter((file) => file !== THIS_FILE);

  it.each(RULES)('$name', ({pattern, files: filePattern}) => {
    const forbidden = new RegExp(pattern, 'i');
    const found = files
      .filter((file) => filePattern.test(file))
      .filter((file) => forbidden.test(read(file)));
    expect(found).toEqual([]);
  });
});

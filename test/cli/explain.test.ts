import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {runExplain} from '../../src/cli/commands/explain/run-explain.js';
import {ExitStatus} from '../../src/cli/types.js';

const LOG =
  '{"timestamp":"2026-01-01T00:00:01.000Z","level":"info",' +
  '"message":"refused","vm":"entry-1","id":"a","status":503}\n';

describe('plantainrill explain', () => {
  let folder: string;
  let file: string;
  let out: string;
  let err: string;

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'plantainrill-explain-'));
    file = join(folder, 'entry.log');
    writeFileSync(file, LOG);
    out = '';
    err = '';
  });

  afterEach(() => rmSync(folder, {recursive: true}));

  const run = (options: {id: string; files: string[]; json?: boolean}) =>
    runExplain(
      {out: (text) => (out += text), err: (text) => (err += text)},
      options,
    );

  it('prints each related log line', async () => {
    expect(await run({id: 'a', files: [file]})).toBe(ExitStatus.OK);
    expect(out).toBe(
      '2026-01-01T00:00:01.000Z entry-1 [request] refused status=503\n',
    );
  });

  it('prints JSON', async () => {
    expect(await run({id: 'a', files: [file], json: true})).toBe(ExitStatus.OK);
    expect(JSON.parse(out)).toMatchObject([
      {relation: 'request', line: {message: 'refused'}},
    ]);
  });

  it.each([
    {name: 'an unknown id', id: 'b', isMissing: false},
    {name: 'a missing file', id: 'a', isMissing: true},
  ])('reports $name', async ({id, isMissing}) => {
    const files = [isMissing ? join(folder, 'none') : file];
    expect(await run({id, files})).toBe(ExitStatus.BAD_INPUT);
    expect(err).not.toBe('');
  });
});

import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {parseBootSettings} from '../../platform/boot-settings.js';
import {parseConfig} from '../../platform/config-codec.js';
import {runCheckPlatform} from '../../src/cli/commands/check-platform/run-check-platform.js';
import {ExitStatus} from '../../src/cli/types.js';
import {bootFile} from '../../stand-ins/site/boot-file.js';
import {siteConfig} from '../../stand-ins/site/config.js';

const SETTINGS = bootFile({
  name: 'entry-1',
  address: '127.0.0.1',
  zone: 'a',
  store: '127.0.0.1:3',
  bounds: {grace_s: 8},
});

describe('plantainrill check-platform', () => {
  let folder: string;
  let out: string;
  let err: string;

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'plantainrill-check-'));
    out = '';
    err = '';
  });

  afterEach(() => rmSync(folder, {recursive: true}));

  const write = (name: string, content: unknown): string => {
    const path = join(folder, name);
    writeFileSync(path, JSON.stringify(content));
    return path;
  };

  const run = (options: {settings?: string; routes?: string; json?: boolean}) =>
    runCheckPlatform(
      {
        out: (text) => (out += text),
        err: (text) => (err += text),
        platform: {parseSettings: parseBootSettings, parseConfig},
      },
      options,
    );

  it('reports valid files', async () => {
    const settings = write('boot.json', SETTINGS);
    const routes = write('routes.json', siteConfig({version: 1}));
    expect(await run({settings, routes})).toBe(ExitStatus.OK);
    expect(out).toBe('ok\n');
  });

  it.each([
    {
      name: 'settings without a field',
      option: 'settings',
      content: {...SETTINGS, zone: undefined},
      expectedText: 'zone',
    },
    {
      name: 'a configuration without a field',
      option: 'routes',
      content: {...siteConfig({version: 1}), limits: undefined},
      expectedText: 'limits',
    },
    {
      name: 'a route to a missing service',
      option: 'routes',
      content: {...siteConfig({version: 1}), services: []},
      expectedText: 'no service "desk"',
    },
  ])('reports $name', async ({option, content, expectedText}) => {
    const file = write('file.json', content);
    expect(await run({[option]: file})).toBe(ExitStatus.BAD_INPUT);
    expect(err).toContain(expectedText);
    expect(err).toContain(file);
  });

  it('reports problems as JSON', async () => {
    const routes = write('routes.json', {
      ...siteConfig({version: 1}),
      services: [],
    });
    expect(await run({routes, json: true})).toBe(ExitStatus.BAD_INPUT);
    const report = JSON.parse(out) as {ok: boolean; problems: unknown[]};
    expect(report.ok).toBe(false);
    expect(report.problems).toContainEqual({
      file: routes,
      subject: '/stock/',
      detail: 'no service "desk"',
    });
  });

  it('requires a readable file', async () => {
    expect(await run({})).toBe(ExitStatus.BAD_INPUT);
    expect(await run({settings: join(folder, 'none')})).toBe(
      ExitStatus.BAD_INPUT,
    );
    expect(err).toContain('--settings');
  });
});

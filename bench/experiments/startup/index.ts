/** Processor time until a starting program handles signals and until it serves. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {Readable} from 'node:stream';

import {buildSync} from 'esbuild';

import {SETTINGS_PATH_VARIABLE} from '../../../platform/names.js';
import {bootFile} from '../../../stand-ins/site/boot-file.js';
import {StandInStore} from '../../../stand-ins/site/store.js';
import {Samples} from '../../lib/samples.js';
import type {Experiment} from '../../lib/types.js';

const ROUNDS = 15;

/** Processor time beside Node's own that the handlers may take, in ms. */
const MAX_OWN_MS = 10;

/** An address on which nothing else listens. */
const ADDRESS = '127.9.0.4';

const US_PER_MS = 1_000;

/** Descriptor on which the probe reports. */
const PROBE_FD = 3;

const HANDLER = "process.on('SIGHUP', () => undefined);";

/**
 * Reports the processor time, in microseconds, at the first handler of SIGHUP and
 * at the first server that listens; then the program is of no more use.
 */
const PROBE = `
const {writeSync} = require('node:fs');
const {Server} = require('node:net');
const report = () => {
  const {user, system} = process.cpuUsage();
  writeSync(${PROBE_FD}, user + system + '\\n');
};
process.on('newListener', (name) => name === 'SIGHUP' && report());
const {listen} = Server.prototype;
Server.prototype.listen = function (...args) {
  report();
  return listen.apply(this, args);
};
`;

/** A way to build the direct entry. */
interface Build {
  readonly name: string;
  readonly argv: readonly string[];
}

/** Compares the deployed entry with other builds and with Node.js alone. */
export const experiment: Experiment = {
  name: 'startup',
  summary: 'processor time until a program handles signals and until it serves',
  starts: 'one program at a time, about 20 s',
  flags: [`--rounds N: starts of each build, ${ROUNDS} by default`],
  run: async ({flags}) => {
    const rounds = flags.number('rounds', ROUNDS);
    const folder = mkdtempSync(join(tmpdir(), 'startup-'));
    const store = new StandInStore();
    await store.start();
    const env = {[SETTINGS_PATH_VARIABLE]: writeBoot(folder, store.url)};
    const builds = createBuilds(folder);
    const handled = builds.map(({name}) => createSamples(`${name}, signals`));
    const served = builds.map(({name}) => createSamples(`${name}, serves`));
    for (let round = 0; round < rounds; round++) {
      for (const [i, {argv}] of builds.entries()) {
        const [handledMs, servedMs] = await measure({folder, argv, env});
        handled[i]!.add(handledMs!);
        if (servedMs !== undefined) served[i]!.add(servedMs);
      }
    }
    await store.stop();
    rmSync(folder, {recursive: true});
    const ownMs = handled[1]!.percentile(50) - handled[0]!.percentile(50);
    return {
      cases: [...handled, ...served.slice(1)].map((s) => s.result()),
      ratios: [],
      bounds: [
        {
          name: 'deployed entry beside one line, signals, median (ms)',
          stated: MAX_OWN_MS,
          measured: ownMs,
          holds: ownMs <= MAX_OWN_MS,
        },
      ],
    };
  },
};

const createSamples = (name: string) => new Samples({name, unit: 'ms'});

function writeBoot(folder: string, storeUrl: string): string {
  const path = join(folder, 'boot.json');
  const settings = bootFile({
    ...{name: 'entry-1', address: ADDRESS, zone: 'a'},
    store: new URL(storeUrl).host,
    bounds: {grace_s: 2},
  });
  writeFileSync(path, JSON.stringify(settings));
  return path;
}

/** One line, the deployed entry, one whole bundle, and that one minified. */
function createBuilds(folder: string): Build[] {
  const line = join(folder, 'line.cjs');
  writeFileSync(line, HANDLER);
  const bundle = (name: string, minify: boolean): string => {
    const outfile = join(folder, `${name}.cjs`);
    buildSync({
      entryPoints: ['src/daemon/direct-main.ts'],
      ...{bundle: true, platform: 'node', format: 'cjs', target: 'node20'},
      ...{outfile, minify, logLevel: 'warning'},
    });
    return outfile;
  };
  return [
    {name: 'one line', argv: [line]},
    {name: 'deployed', argv: ['target/direct.cjs']},
    {name: 'one bundle', argv: [bundle('whole', false)]},
    {name: 'one bundle, minified', argv: [bundle('minified', true)]},
  ];
}

/** Starts a program and returns the processor times that it reports, in ms. */
async function measure(options: {
  folder: string;
  argv: readonly string[];
  env: Record<string, string>;
}): Promise<number[]> {
  const {folder, argv, env} = options;
  const probe = join(folder, 'probe.cjs');
  writeFileSync(probe, PROBE);
  const child = spawn(process.execPath, ['--require', probe, ...argv], {
    stdio: ['ignore', 'ignore', 'inherit', 'pipe'],
    env: {...process.env, ...env},
  });
  const exited = once(child, 'exit');
  const times: number[] = [];
  const reports = child.stdio[PROBE_FD] as Readable;
  for await (const chunk of reports) {
    times.push(...parse(String(chunk)));
    if (times.length >= REPORTS) break;
  }
  child.kill('SIGKILL');
  await exited;
  return [times[0]!, times[REPORTS - 1]!];
}

/** Reports of an entry: two of its handlers, then its first server. */
const REPORTS = 3;

const parse = (text: string): number[] =>
  text
    .split('\n')
    .filter((line) => line !== '')
    .map((line) => Number(line) / US_PER_MS);

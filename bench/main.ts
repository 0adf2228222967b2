/** Command line of the bench: runs one experiment by name. */
import {execFileSync} from 'node:child_process';
import {existsSync, readdirSync} from 'node:fs';

import {Command} from 'commander';

import {writeReport} from './lib/plot.js';
import {renderJson, renderReport} from './lib/report.js';
import type {Experiment} from './lib/types.js';

const EXPERIMENTS_URL = new URL('./experiments/', import.meta.url);
const DEFAULT_SEED = '1';

const program = new Command('bench')
  .description('Runs an experiment on this machine, over loopback only.')
  .argument('[name]', 'the experiment; without it all are listed')
  .option('--seed <n>', 'seed of all random numbers', DEFAULT_SEED)
  .option('--json', 'print JSON, last on standard output')
  .option('--report <dir>', 'write a page with plots into this directory')
  .allowUnknownOption()
  .allowExcessArguments();

interface BenchOptions {
  readonly seed: string;
  readonly json?: true;
  readonly report?: string;
}

await main();

async function main(): Promise<void> {
  program.parse();
  const name = program.args[0];
  if (name === undefined || name.startsWith('--')) {
    await listExperiments();
    return;
  }
  if (!existsSync(new URL(`${name}/index.js`, EXPERIMENTS_URL))) {
    process.stderr.write(`there is no experiment "${name}"\n`);
    process.exitCode = 2;
    return;
  }
  await runExperiment(name);
}

async function runExperiment(name: string): Promise<void> {
  const {
    seed: seedText,
    json,
    report: directory,
  } = program.opts<BenchOptions>();
  const seed = Number(seedText);
  const experiment = await loadExperiment(name);
  const result = await experiment.run({seed, flags: readFlags()});
  const report = {experiment: name, seed, commit: readCommit(), ...result};
  if (directory !== undefined) writeReport({report, directory});
  const text = json === true ? renderJson(report) : renderReport(report);
  process.stdout.write(text, () => process.exit(0));
}

async function listExperiments(): Promise<void> {
  for (const name of readdirSync(EXPERIMENTS_URL).sort()) {
    const {summary, starts, flags} = await loadExperiment(name);
    const lines = [summary, starts, ...flags].map((line) => `    ${line}`);
    process.stdout.write(`${name}\n${lines.join('\n')}\n`);
  }
}

async function loadExperiment(name: string): Promise<Experiment> {
  const url = new URL(`${name}/index.js`, EXPERIMENTS_URL);
  const module = (await import(url.href)) as {experiment: Experiment};
  return module.experiment;
}

function readFlags() {
  const text = (name: string, fallback: string): string => {
    const index = process.argv.indexOf(`--${name}`);
    return index < 0 ? fallback : (process.argv[index + 1] ?? fallback);
  };
  const number = (name: string, fallback: number): number =>
    Number(text(name, String(fallback)));
  return {text, number};
}

function readCommit(): string {
  try {
    const args = ['rev-parse', '--short', 'HEAD'];
    return execFileSync('git', args, {encoding: 'utf8'}).trim();
  } catch {
    return 'unknown';
  }
}

/** Runs the soak test: real processes under faults generated from seeds. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {Command, InvalidArgumentError} from 'commander';

import type {SoakResult} from './run.js';
import {runSoak} from './run.js';

const MS_PER_S = 1_000;
const DEFAULT_SEEDS = 5;
const DEFAULT_SECONDS = 20;
const DEFAULT_ENTRIES = 3;
const DEFAULT_TARGETS = 1;

/** Upper limit of the random first seed, used if none is given. */
const SEED_RANGE = 1_000_000_000;

interface Flags {
  readonly seeds: number;
  /** First seed; random if undefined. */
  readonly seed?: number;
  readonly seconds: number;
  readonly entries: number;
  readonly targets: number;
  readonly starts: boolean;
  readonly wire: boolean;
  readonly json: boolean;
}

const program = new Command('soak')
  .description('Plays faults on a site of real processes and checks promises.')
  .option('--seeds <count>', 'runs to play', parseCount, DEFAULT_SEEDS)
  .option('--seed <seed>', 'first seed; drawn where missing', parseCount)
  .option('--seconds <time>', 'length of a run', parseCount, DEFAULT_SECONDS)
  .option('--entries <count>', 'entries', parseCount, DEFAULT_ENTRIES)
  .option(
    '--targets <count>',
    'targets of each service in each zone',
    parseCount,
    DEFAULT_TARGETS,
  )
  .option('--no-starts', 'without signals and held ports around starts')
  .option('--no-wire', 'without crowds, early responses and uploads')
  .option('--json', 'one JSON line for each run', false)
  .addHelpText(
    'after',
    '\nExit statuses: 0 all promises held, 1 one was broken.',
  );

const status = await main();
// Exits explicitly: handles that a run left open would keep the process alive.
process.stdout.write('', () => process.exit(status));

async function main(): Promise<number> {
  const flags = program.parse().opts<Flags>();
  const first = flags.seed ?? Math.floor(Math.random() * SEED_RANGE);
  let failedRuns = 0;
  for (let seed = first; seed < first + flags.seeds; seed++) {
    const folder = mkdtempSync(join(tmpdir(), `soak-${seed}-`));
    const {entries, targets} = flags;
    const durationMs = flags.seconds * MS_PER_S;
    const result = await runSoak({
      seed,
      durationMs,
      size: {entries, targets},
      hasStartFaults: flags.starts,
      hasWireFaults: flags.wire,
      folder,
    });
    const hasFailed = result.violations.length > 0;
    if (hasFailed) failedRuns++;
    else rmSync(folder, {recursive: true});
    const text = flags.json ? JSON.stringify(result) : formatResult(result);
    process.stdout.write(`${text}\n`);
    if (hasFailed) process.stdout.write(`  kept in ${folder}\n`);
  }
  process.stdout.write(
    `${flags.seeds - failedRuns} green, ${failedRuns} red\n`,
  );
  return failedRuns > 0 ? 1 : 0;
}

function formatResult(result: SoakResult): string {
  const {seed, violations, requests, served, faults, lagMs} = result;
  const verdict = violations.length === 0 ? 'green' : 'RED';
  const figures = `${faults} faults, ${served} of ${requests} served, lag ${lagMs} ms`;
  const lines = violations.map(
    ({promise, id, detail}) => `  ${promise}: ${id}: ${detail}`,
  );
  return [`seed ${seed}: ${verdict}; ${figures}`, ...lines].join('\n');
}

function parseCount(text: string): number {
  const count = Number(text);
  if (Number.isInteger(count) && count > 0) return count;
  throw new InvalidArgumentError('expected a whole number above 0');
}

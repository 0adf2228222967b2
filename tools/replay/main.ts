/** Replays disturbances on the entries of a built copy of the project. */
import {resolve} from 'node:path';

import {Command, InvalidArgumentError} from 'commander';

import {MS_PER_S} from './consts.js';
import {runReplay} from './run.js';
import {EndCause} from './types.js';

const DEFAULT_SECONDS = 40;
const DEFAULT_RETURNING = 250;

interface Flags {
  readonly root: string;
  readonly seed: number;
  readonly seeds: number;
  readonly seconds: number;
  readonly returning: number;
  /** Every second run is capped by default. */
  readonly cap: CapMode;
}

enum CapMode {
  ON = 'on',
  OFF = 'off',
  ALTERNATE = 'alternate',
}

const program = new Command('replay')
  .description('Looks for entries that do not start or end by themselves.')
  .option('--root <folder>', 'built copy of the project', '.')
  .option('--seed <seed>', 'first seed', parseCount, 1)
  .option('--seeds <count>', 'runs to play', parseCount, 1)
  .option('--seconds <time>', 'length of a run', parseCount, DEFAULT_SECONDS)
  .option(
    '--returning <count>',
    'callers at each entry that always come back',
    parseCount,
    DEFAULT_RETURNING,
  )
  .option('--cap <mode>', 'processor cap: on, off or alternate', 'alternate')
  .addHelpText(
    'after',
    '\nOne JSON line for each run. Exit statuses: 0 none ended by itself, 1 one did.',
  );

const status = await main();
// Exits explicitly: handles that a run left open would keep the process alive.
process.stdout.write('', () => process.exit(status));

async function main(): Promise<number> {
  const flags = program.parse().opts<Flags>();
  const root = resolve(flags.root);
  let hasFailed = false;
  for (let seed = flags.seed; seed < flags.seed + flags.seeds; seed++) {
    const result = await runReplay({
      ...{seed, root, durationMs: flags.seconds * MS_PER_S},
      isCapped: isCapped(flags.cap, seed),
      returningCallers: flags.returning,
    });
    process.stdout.write(`${JSON.stringify(result)}\n`);
    const {ends, failedStarts, overMemory} = result;
    const failures = ends[EndCause.BY_ITSELF] + failedStarts + overMemory;
    if (failures > 0) hasFailed = true;
  }
  return hasFailed ? 1 : 0;
}

function isCapped(mode: CapMode, seed: number): boolean {
  return mode === CapMode.ALTERNATE ? seed % 2 === 0 : mode === CapMode.ON;
}

function parseCount(text: string): number {
  const count = Number(text);
  if (Number.isInteger(count) && count > 0) return count;
  throw new InvalidArgumentError('expected a whole number above 0');
}

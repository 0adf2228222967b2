/** Measures the memory of an entry under each load and under two at once. */
import {resolve} from 'node:path';

import {Command} from 'commander';

import {ReturningLoad, measureMemory} from './memory.js';

const {STREAMS, IDLE, UNREAD, BODIES} = ReturningLoad;

const CASES = [
  ...[[STREAMS], [IDLE], [UNREAD], [BODIES]],
  ...[
    [STREAMS, IDLE],
    [STREAMS, UNREAD],
    [STREAMS, BODIES],
  ],
  ...[
    [IDLE, UNREAD],
    [IDLE, BODIES],
    [UNREAD, BODIES],
  ],
];

const program = new Command('replay-memory')
  .description('Measures an entry while its callers come back at once.')
  .option('--root <folder>', 'built copy of the project', '.');

const {root} = program.parse().opts<{root: string}>();
for (const loads of CASES) {
  const result = await measureMemory({root: resolve(root), loads});
  process.stdout.write(`${JSON.stringify(result)}\n`);
}
// Exits explicitly: handles that a case left open would keep the process alive.
process.stdout.write('', () => process.exit(0));

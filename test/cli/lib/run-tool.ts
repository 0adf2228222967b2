import {SeededRandom, SystemClock} from '../../../src/core/clock/index.js';
import {parseBootSettings} from '../../../platform/boot-settings.js';
import {parseConfig} from '../../../platform/config-codec.js';
import {runCli} from '../../../src/cli/run-cli.js';
import type {ExitStatus} from '../../../src/cli/types.js';
import {MemoryStore} from './memory-store.js';

const SEED = 20261204;

/** Exit status and output of one call of the tool. */
export interface ToolResult {
  readonly status: ExitStatus;
  readonly out: string;
  readonly err: string;
}

/** What the tool reads besides its arguments. */
export interface ToolSurroundings {
  readonly env?: Record<string, string>;
  /** Its standard input. */
  readonly input?: string;
}

/** Runs the tool in this process. */
export async function runTool(
  args: readonly string[],
  store: MemoryStore = new MemoryStore(),
  {env = {}, input = ''}: ToolSurroundings = {},
): Promise<ToolResult> {
  let out = '';
  let err = '';
  const status = await runCli({
    args,
    ctx: {
      out: (text) => {
        out += text;
      },
      err: (text) => {
        err += text;
      },
      createStore: () => Promise.resolve(store),
      platform: {parseSettings: parseBootSettings, parseConfig},
      clock: new SystemClock(),
      random: new SeededRandom(SEED),
      env,
      readInput: () => Promise.resolve(input),
      operator: 'anna',
    },
  });
  return {status, out, err};
}

/** Reads the settings of `plantainrilld` and runs the role that they name. */
import {setImmediate} from 'node:timers/promises';

import {Command} from 'commander';

import {loadDaemonSettings, ProcessRole} from '../core/settings/index.js';
import {formatProblem} from '../core/yaml-check/index.js';
import {EXIT_BAD_SETTINGS} from './consts.js';
import {runAgent} from './run-agent.js';
import {runEntry} from './run-entry.js';
import type {StartupSignals} from './startup-signals.js';

interface Flags {
  readonly settings: string;
  readonly overlay?: string;
  readonly set: string[];
}

const program = new Command('plantainrilld')
  .description('Runs one process of plantainrill.')
  .requiredOption('--settings <file>', 'base file of the settings')
  .option('--overlay <file>', 'overlay over the base file')
  .option('--set <path=value>', 'one setting, over both files', appendValue, [])
  .addHelpText('after', () => HELP_EXAMPLES);

const HELP_EXAMPLES = `
Examples:
  plantainrilld --settings entry.yaml
  plantainrilld --settings agent.yaml --set vm=engine-2 --set peers.port=7201

Signals: SIGTERM and SIGINT begin a planned stop, which ends with status 0
once all work is done. SIGHUP changes nothing: settings are read at the start.
Exit statuses: 0 stopped as planned, 1 cannot listen, 2 bad settings.`;

/**
 * Runs an entry or an agent until it is stopped.
 *
 * @example
 * await runDaemon(new StartupSignals(process));
 */
export async function runDaemon(startupSignals: StartupSignals): Promise<void> {
  // Signals that arrived while the program was loaded are handled first.
  await setImmediate();
  const flags = program.parse().opts<Flags>();
  const settings = loadDaemonSettings({
    basePath: flags.settings,
    overlayPath: flags.overlay,
    overrides: flags.set,
  });
  if (settings.isErr()) {
    const {problems, detail} = settings.error;
    const lines = problems.length > 0 ? problems.map(formatProblem) : [detail];
    process.stderr.write(`${lines.join('\n')}\n`);
    process.exit(EXIT_BAD_SETTINGS);
  }
  const runRole =
    settings.value.role === ProcessRole.ENTRY ? runEntry : runAgent;
  await runRole(settings.value, startupSignals);
}

function appendValue(value: string, previous: string[]): string[] {
  return [...previous, value];
}

/** Program that runs the stand-in of a model engine. */
import {announceReady, readFlags} from '../lib/program.js';
import {DEFAULT_ENGINE_OPTIONS, startEngine} from './server.js';
import {EarlyEnd} from './types.js';

const flags = readFlags({
  values: [
    'address',
    'port',
    'pace-ms',
    'prefill-us-per-token',
    'capacity',
    'report-lag-ms',
    'crash-on',
    'early-done-kind',
    'limit-per-second',
  ],
  switches: ['ignores-fencing', 'early-done-after-resume'],
});

function readEarlyEnd(): EarlyEnd {
  if (!flags.isSet('early-done-after-resume')) return EarlyEnd.NEVER;
  const kind = flags.text('early-done-kind', EarlyEnd.LENGTH);
  const kinds: string[] = Object.values(EarlyEnd);
  if (!kinds.includes(kind)) throw new Error(`unknown kind ${kind}`);
  return kind as EarlyEnd;
}

const base = DEFAULT_ENGINE_OPTIONS;
const server = await startEngine({
  address: flags.text('address', base.address),
  port: flags.number('port', base.port),
  paceMs: flags.number('pace-ms', base.paceMs),
  prefillUsPerToken: flags.number(
    'prefill-us-per-token',
    base.prefillUsPerToken,
  ),
  capacity: flags.number('capacity', base.capacity),
  reportLagMs: flags.number('report-lag-ms', base.reportLagMs),
  ignoresFencing: flags.isSet('ignores-fencing'),
  crashOn: flags.text('crash-on', base.crashOn),
  earlyEnd: readEarlyEnd(),
  limitPerSecond: flags.number('limit-per-second', base.limitPerSecond),
});
announceReady({port: server.port});

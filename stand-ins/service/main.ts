/** Program that runs the stand-in of a plain service. */
import {announceReady, readFlags} from '../lib/program.js';
import {DEFAULT_SERVICE_OPTIONS, startService} from './server.js';

const flags = readFlags({
  values: [
    'address',
    'port',
    'delay-ms',
    'capacity',
    'ledger-url',
    'limit-per-second',
  ],
  switches: [],
});

const base = DEFAULT_SERVICE_OPTIONS;
const server = await startService({
  address: flags.text('address', base.address),
  port: flags.number('port', base.port),
  delayMs: flags.number('delay-ms', base.delayMs),
  capacity: flags.number('capacity', base.capacity),
  ledgerUrl: flags.text('ledger-url', base.ledgerUrl),
  limitPerSecond: flags.number('limit-per-second', base.limitPerSecond),
});
announceReady({port: server.port});

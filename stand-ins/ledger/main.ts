/** Program that runs a ledger. */
import {announceReady, readFlags} from '../lib/program.js';
import {startLedger} from './server.js';

const flags = readFlags({values: ['address', 'port'], switches: []});
const server = await startLedger({
  address: flags.text('address', '127.0.0.1'),
  port: flags.number('port', 0),
});
announceReady({port: server.port});

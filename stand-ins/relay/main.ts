/** Program that runs a relay. */
import {announceReady, readFlags} from '../lib/program.js';
import {startControl} from './control.js';
import {Relay} from './relay.js';

const flags = readFlags({
  values: ['address', 'port', 'control-port', 'to'],
  switches: [],
});

const address = flags.text('address', '127.0.0.1');
const [toHost = '', toPort = ''] = flags.text('to', '').split(':');
const relay = new Relay({
  address,
  port: flags.number('port', 0),
  toHost,
  toPort: Number(toPort),
});
await relay.listen();
const control = await startControl({
  relay,
  address,
  port: flags.number('control-port', 0),
});
announceReady({port: relay.port, controlPort: control.port});

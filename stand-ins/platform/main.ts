/** Program that runs the stand-in of the platform. */
import {announceReady, readFlags} from '../lib/program.js';
import {DEFAULT_PLATFORM_OPTIONS, startPlatform} from './server.js';

const flags = readFlags({
  values: [
    'address',
    'port',
    'vm-lag-ms',
    'latency-ms',
    'log-length',
    'keep-alive-ms',
  ],
  switches: [],
});

const base = DEFAULT_PLATFORM_OPTIONS;
const server = await startPlatform({
  address: flags.text('address', base.address),
  port: flags.number('port', base.port),
  vmLagMs: flags.number('vm-lag-ms', base.vmLagMs),
  latencyMs: flags.number('latency-ms', base.latencyMs),
  logLength: flags.number('log-length', base.logLength),
  keepAliveMs: flags.number('keep-alive-ms', base.keepAliveMs),
});
announceReady({port: server.port});

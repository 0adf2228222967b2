/** Cost of the bounded reader on ordinary streams, beside a plain socket. */
import {once} from 'node:events';
import type {Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setImmediate} from 'node:timers/promises';

import type {Dispatcher} from 'undici';
import {buildConnector, Client} from 'undici';

import {createConnector} from '../../../src/adapters/http-connector.js';
import {Samples} from '../../lib/samples.js';
import type {Experiment} from '../../lib/types.js';

const ROUNDS = 40;
const STREAMS = 20;
const EVENTS = 130;
const CONNECT_TIMEOUT_MS = 1_000;
const RESPONSE_BYTES = 64 * 1024;

/** Largest cost beside a plain socket. */
const MAX_RATIO = 1.03;

const encodeEvent = (id: number) => `id: ${id}\ndata: piece ${id} of many\n\n`;

/** Measures the processor time of the same streams over both sockets. */
export const experiment: Experiment = {
  name: 'bounded-reading',
  summary: 'processor time of an event, read within bounds and without',
  starts: 'nothing; server and client are in this process, about 20 s',
  flags: ['--rounds N: rounds of each way, 40 by default'],
  run: async ({flags}) => {
    const rounds = flags.number('rounds', ROUNDS);
    const server = createServer((_, res) => void sendStream(res));
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const bounded = new Samples({name: 'an event, bounded', unit: 'us'});
    const plain = new Samples({name: 'an event, plain socket', unit: 'us'});
    // The first round warms up the JIT compiler.
    for (let round = 0; round <= rounds; round++) {
      const boundedUs = await measure(server, connectBounded());
      const plainUs = await measure(server, connectPlain());
      if (round === 0) continue;
      bounded.add(boundedUs);
      plain.add(plainUs);
    }
    server.close();
    const ratio = bounded.percentile(50) / plain.percentile(50);
    return {
      cases: [bounded.result(), plain.result()],
      ratios: [{name: 'bounded to plain, median', value: ratio}],
      bounds: [
        {
          name: 'bounded to plain',
          stated: MAX_RATIO,
          measured: ratio,
          holds: ratio <= MAX_RATIO,
        },
      ],
    };
  },
};

function connectBounded(): buildConnector.connector {
  return createConnector({
    timeoutMs: CONNECT_TIMEOUT_MS,
    responseBytes: RESPONSE_BYTES,
  });
}

function connectPlain(): buildConnector.connector {
  return buildConnector({timeout: CONNECT_TIMEOUT_MS});
}

/** Sends a stream whose events arrive one by one. */
async function sendStream(res: ServerResponse): Promise<void> {
  res.writeHead(200, {'Content-Type': 'text/event-stream'});
  for (let id = 1; id <= EVENTS; id++) {
    res.write(encodeEvent(id));
    await setImmediate();
  }
  res.end();
}

/** Reads streams one after the other; returns microseconds an event. */
async function measure(
  server: Server,
  connect: buildConnector.connector,
): Promise<number> {
  const {port} = server.address() as AddressInfo;
  const client = new Client(`http://127.0.0.1:${port}`, {connect});
  const before = process.cpuUsage();
  for (let i = 0; i < STREAMS; i++) await readStream(client);
  const {user, system} = process.cpuUsage(before);
  await client.destroy();
  return (user + system) / (STREAMS * EVENTS);
}

function readStream(client: Client): Promise<void> {
  return new Promise((resolve, reject) => {
    const handler: Dispatcher.DispatchHandler = {
      onRequestStart: () => undefined,
      onResponseStart: () => undefined,
      onResponseData: () => undefined,
      onResponseEnd: () => resolve(),
      onResponseError: (_controller, err) => reject(err),
    };
    client.dispatch({method: 'GET', path: '/'}, handler);
  });
}

/** HTTP control server of a relay. */
import {numberField} from '../lib/fields.js';
import type {HttpCall, RunningServer} from '../lib/http-server.js';
import {
  HttpError,
  readJson,
  sendJson,
  startServer,
} from '../lib/http-server.js';
import type {Relay} from './relay.js';

/**
 * Serves `POST /cut`, `/reset`, `/delay` with `{ms}`, and `/mend`, which ends
 * cuts and delays.
 *
 * @example
 * const control = await startControl({relay, address: '127.0.0.1', port: 0});
 */
export function startControl(options: {
  relay: Relay;
  address: string;
  port: number;
}): Promise<RunningServer> {
  const {relay, address, port} = options;
  const handle = async ({segments, req, res}: HttpCall): Promise<void> => {
    const body = await readJson({req});
    apply(relay, segments[0] ?? '', body);
    sendJson({res, status: 200, body: {}});
  };
  return startServer({address, port, handle});
}

function apply(relay: Relay, action: string, body: unknown): void {
  switch (action) {
    case 'cut':
      return relay.cut();
    case 'reset':
      return relay.reset();
    case 'mend':
      return relay.restore();
    case 'delay':
      return relay.delay(numberField(body, 'ms', 0));
    default:
      throw new HttpError(404, 'no such action');
  }
}

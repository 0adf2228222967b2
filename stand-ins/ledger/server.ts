/** A counter of executions that outlives the service that posts them. */
import {textField} from '../lib/fields.js';
import type {HttpCall, RunningServer} from '../lib/http-server.js';
import {
  HttpError,
  readJson,
  sendJson,
  startServer,
} from '../lib/http-server.js';
import {ExecutionCounter} from './execution-counter.js';

/**
 * Starts a ledger.
 *
 * @example
 * const ledger = await startLedger();
 */
export function startLedger(
  options: {address?: string; port?: number} = {},
): Promise<RunningServer> {
  const {address = '127.0.0.1', port = 0} = options;
  const log = new ExecutionCounter();
  const handle = (call: HttpCall): Promise<void> => answer(call, log);
  return startServer({address, port, handle});
}

async function answer(call: HttpCall, log: ExecutionCounter): Promise<void> {
  const {method, segments, req, res} = call;
  switch (`${method} /${segments.join('/')}`) {
    case 'POST /executions': {
      const key = textField(await readJson({req}), 'key', '');
      const execution = log.add(key);
      return sendJson({res, status: 201, body: {key, execution}});
    }
    case 'GET /counts':
      return sendJson({res, status: 200, body: {perKey: log.perKey}});
    default:
      throw new HttpError(404, 'no such path');
  }
}

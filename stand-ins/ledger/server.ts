/** HTTP server that counts executions and survives crashes of the service. */
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
  const executions = new ExecutionCounter();
  const handle = (call: HttpCall): Promise<void> =>
    handleCall(call, executions);
  return startServer({address, port, handle});
}

async function handleCall(
  call: HttpCall,
  executions: ExecutionCounter,
): Promise<void> {
  const {method, segments, req, res} = call;
  switch (`${method} /${segments.join('/')}`) {
    case 'POST /executions': {
      const key = textField(await readJson({req}), 'key', '');
      const execution = executions.add(key);
      return sendJson({res, status: 201, body: {key, execution}});
    }
    case 'GET /counts':
      return sendJson({res, status: 200, body: {perKey: executions.perKey}});
    default:
      throw new HttpError(404, 'no such path');
  }
}

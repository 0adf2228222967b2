import {FIRST_ERROR_STATUS} from '../../../adapters/http-call.js';
import {
  DEADLINE_HEADER,
  IDEMPOTENCY_KEY_HEADER,
} from '../../../core/edges/index.js';
import {ENTRY_UNREACHABLE, Executed} from '../../../core/errors/index.js';
import {SERVICES_PATH} from '../../consts.js';
import type {HttpResponse, HttpError} from '../../http/index.js';
import {callHttp, formatRefusal, HttpErrorKind} from '../../http/index.js';
import {reportError} from '../../output/index.js';
import type {CliContext} from '../../types.js';
import {ExitStatus} from '../../types.js';
import type {CallOptions} from './types.js';

/** Time after the deadline in which a response may arrive, in milliseconds. */
const RESPONSE_GRACE_MS = 1_000;

/** Runs `call`. */
export async function runCall(
  ctx: CliContext,
  options: CallOptions,
): Promise<ExitStatus> {
  const response = await callHttp({
    url: createUrl(options),
    method: options.method.toUpperCase(),
    headers: createHeaders(options),
    body: options.body,
    // Leaves time for the entry's own refusal at the deadline.
    timeoutMs: options.deadline + RESPONSE_GRACE_MS,
  });
  return response.match(
    (value) =>
      options.json === true
        ? reportJson(ctx, value)
        : reportResponse(ctx, value),
    (error) => reportFailure(ctx, error),
  );
}

function createUrl({entry, service, path}: CallOptions): string {
  const separator = path.startsWith('/') ? '' : '/';
  const root = `${entry}${SERVICES_PATH}/${encodeURIComponent(service)}`;
  return `${root}${separator}${path}`;
}

function createHeaders(options: CallOptions): Record<string, string> {
  const headers: Record<string, string> = {
    authorization: `Bearer ${options.key}`,
    [DEADLINE_HEADER]: String(options.deadline),
  };
  if (options.idempotencyKey !== undefined) {
    headers[IDEMPOTENCY_KEY_HEADER] = options.idempotencyKey;
  }
  return headers;
}

function reportJson(ctx: CliContext, response: HttpResponse): ExitStatus {
  const {status, body, problem, retryAfterMs} = response;
  const report = problem === undefined ? {status, body} : {status, problem};
  ctx.out(`${JSON.stringify({...report, retryAfterMs})}\n`);
  return toExitStatus(response);
}

function toExitStatus({status, problem}: HttpResponse): ExitStatus {
  if (problem !== undefined) return ExitStatus.REFUSED;
  return status < FIRST_ERROR_STATUS ? ExitStatus.OK : ExitStatus.FAILED;
}

function reportResponse(ctx: CliContext, response: HttpResponse): ExitStatus {
  const {status, body, problem, retryAfterMs} = response;
  if (problem !== undefined) {
    ctx.err(`${formatRefusal(problem)}\n`);
    ctx.err(
      retryAfterMs === undefined ? '' : `retry after ${retryAfterMs} ms\n`,
    );
    return toExitStatus(response);
  }
  ctx.err(`status ${status}\n`);
  ctx.out(body === '' || body.endsWith('\n') ? body : `${body}\n`);
  return toExitStatus(response);
}

function reportFailure(ctx: CliContext, error: HttpError): ExitStatus {
  const ran =
    error.kind === HttpErrorKind.NOT_SENT ? Executed.NO : Executed.UNKNOWN;
  reportError(ctx, ENTRY_UNREACHABLE, `${error.detail} (ran: ${ran})`);
  return ExitStatus.FAILED;
}

import {ENTRY_UNREACHABLE, Ran} from '../../../core/errors/index.js';
import {SERVICES_PATH} from '../../consts.js';
import type {HttpAnswer, HttpError} from '../../http/index.js';
import {callHttp, formatRefusal, HttpErrorKind} from '../../http/index.js';
import {reportError} from '../../output/index.js';
import type {CliContext} from '../../types.js';
import {ExitStatus} from '../../types.js';
import type {CallOptions} from './types.js';

/** First HTTP status that says that a call failed. */
const FIRST_ERROR_STATUS = 400;

/** Runs `call`. */
export async function runCall(
  ctx: CliContext,
  options: CallOptions,
): Promise<ExitStatus> {
  const answer = await callHttp({
    url: createUrl(options),
    method: options.method.toUpperCase(),
    headers: createHeaders(options),
    body: options.body,
    timeoutMs: options.deadline,
  });
  return answer.match(
    (value) => reportAnswer(ctx, value),
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
  };
  if (options.idempotencyKey !== undefined) {
    headers['idempotency-key'] = options.idempotencyKey;
  }
  return headers;
}

function reportAnswer(ctx: CliContext, answer: HttpAnswer): ExitStatus {
  const {status, body, problem, retryAfterMs} = answer;
  if (problem !== undefined) {
    ctx.err(`${formatRefusal(problem)}\n`);
    ctx.err(
      retryAfterMs === undefined ? '' : `retry after ${retryAfterMs} ms\n`,
    );
    return ExitStatus.REFUSED;
  }
  ctx.err(`status ${status}\n`);
  ctx.out(body === '' || body.endsWith('\n') ? body : `${body}\n`);
  return status < FIRST_ERROR_STATUS ? ExitStatus.OK : ExitStatus.FAILED;
}

function reportFailure(ctx: CliContext, error: HttpError): ExitStatus {
  const ran = error.kind === HttpErrorKind.NOT_SENT ? Ran.NO : Ran.UNKNOWN;
  reportError(ctx, ENTRY_UNREACHABLE, `${error.detail} (ran: ${ran})`);
  return ExitStatus.FAILED;
}

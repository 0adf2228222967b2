import {FIRST_ERROR_STATUS} from '../../../adapters/http-call.js';
import {sleep} from '../../../core/clock/index.js';
import {
  DRAIN_UNFINISHED,
  PROCESS_UNREACHABLE,
} from '../../../core/errors/index.js';
import {DRAIN_PATH, OPERATORS_TIMEOUT_MS} from '../../consts.js';
import {callHttp, formatRefusal, HttpErrorKind} from '../../http/index.js';
import {readStatus} from '../../operators/index.js';
import {reportError} from '../../output/index.js';
import type {CliContext} from '../../types.js';
import {ExitStatus} from '../../types.js';
import type {DrainOptions} from './types.js';

/** Time between two status requests to a draining process, in milliseconds. */
const POLL_PERIOD_MS = 250;

/** Progress of a graceful shutdown, as printed. */
enum DrainState {
  DRAINING = 'draining',
  /** The process refuses connections. */
  STOPPED = 'gone',
}

/** Runs `drain`. */
export async function runDrain(
  ctx: CliContext,
  options: DrainOptions,
): Promise<ExitStatus> {
  const response = await callHttp({
    url: `${options.operators}${DRAIN_PATH}`,
    method: 'POST',
    headers: {},
    timeoutMs: OPERATORS_TIMEOUT_MS,
  });
  if (response.isErr()) {
    reportError(ctx, PROCESS_UNREACHABLE, response.error.detail);
    return ExitStatus.FAILED;
  }
  const {status, problem} = response.value;
  if (status >= FIRST_ERROR_STATUS) {
    const refusal = problem && formatRefusal(problem);
    ctx.err(`${refusal ?? `refused: status ${status}`}\n`);
    return ExitStatus.REFUSED;
  }
  reportState(ctx, options, DrainState.DRAINING);
  return options.wait === true ? waitUntilStopped(ctx, options) : ExitStatus.OK;
}

function reportState(
  ctx: CliContext,
  {operators, json}: DrainOptions,
  state: DrainState,
): void {
  const line = json === true ? JSON.stringify({operators, state}) : state;
  ctx.out(`${line}\n`);
}

/**
 * Waits until the process refuses connections. A request without a response
 * does not show that the process has stopped.
 */
async function waitUntilStopped(
  ctx: CliContext,
  options: DrainOptions,
): Promise<ExitStatus> {
  const deadlineAtMs = ctx.clock.now() + options.deadline;
  while (ctx.clock.now() < deadlineAtMs) {
    const status = await readStatus(options.operators);
    if (status.isErr() && status.error.kind === HttpErrorKind.NOT_SENT) {
      reportState(ctx, options, DrainState.STOPPED);
      return ExitStatus.OK;
    }
    await sleep(ctx.clock, POLL_PERIOD_MS);
  }
  reportError(ctx, DRAIN_UNFINISHED, `${options.operators} still listens`);
  return ExitStatus.FAILED;
}

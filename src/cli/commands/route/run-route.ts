import {RouteParameter} from '../../../core/route-plan/index.js';
import type {ErrorData} from '../../../core/errors/index.js';
import {
  ENTRY_MALFORMED,
  NOT_READY,
  PROCESS_UNREACHABLE,
  ROUTE_QUERY_INVALID,
} from '../../../core/errors/index.js';
import {OPERATORS_TIMEOUT_MS, ROUTE_PATH} from '../../consts.js';
import type {HttpResponse} from '../../http/index.js';
import {callHttp} from '../../http/index.js';
import {reportError} from '../../output/index.js';
import type {CliContext} from '../../types.js';
import {ExitStatus} from '../../types.js';
import {formatPlan} from './format-plan.js';
import {parsePlan} from './plan-codec.js';
import {readKey} from './read-key.js';
import type {RouteOptions} from './types.js';

const OK = 200;
const BAD_REQUEST = 400;
const UNAVAILABLE = 503;

/** Runs `route`. */
export async function runRoute(
  ctx: CliContext,
  options: RouteOptions,
): Promise<ExitStatus> {
  const {operators} = options;
  const key = await readKey(ctx, options);
  const response = await callHttp({
    url: `${operators}${ROUTE_PATH}?${createParams(options).toString()}`,
    method: 'GET',
    headers: key === undefined ? {} : {authorization: `Bearer ${key}`},
    timeoutMs: OPERATORS_TIMEOUT_MS,
  });
  return response.match(
    (value) => report(ctx, options, value),
    ({detail}) => fail(ctx, PROCESS_UNREACHABLE, detail),
  );
}

function createParams(options: RouteOptions): URLSearchParams {
  const values: Array<[RouteParameter, string | number | undefined]> = [
    [RouteParameter.HOST, options.host],
    [RouteParameter.PATH, options.path],
    [RouteParameter.CLIENT_ACCOUNT, options.account],
    [RouteParameter.PRIORITY, options.priority],
    [RouteParameter.PROMPT_TOKENS, options.promptTokens],
    [RouteParameter.OUTPUT_TOKENS, options.outputTokens],
    [RouteParameter.DEADLINE_MS, options.deadline],
  ];
  const params = new URLSearchParams();
  for (const [name, value] of values) {
    if (value !== undefined) params.append(name, String(value));
  }
  for (const part of options.part ?? [])
    params.append(RouteParameter.PROMPT_PART, part);
  return params;
}

function report(
  ctx: CliContext,
  {json}: RouteOptions,
  {status, body}: HttpResponse,
): ExitStatus {
  if (status === BAD_REQUEST) {
    reportError(ctx, ROUTE_QUERY_INVALID, body.trim());
    return ExitStatus.BAD_INPUT;
  }
  if (status === UNAVAILABLE) return fail(ctx, NOT_READY, body.trim());
  if (status !== OK) return fail(ctx, ENTRY_MALFORMED, `status ${status}`);
  return parsePlan(body).match(
    (plan) => {
      const asJson = () => `${JSON.stringify(plan, null, 2)}\n`;
      ctx.out(json === true ? asJson() : formatPlan(plan));
      return ExitStatus.OK;
    },
    (detail) => fail(ctx, ENTRY_MALFORMED, detail),
  );
}

function fail(ctx: CliContext, data: ErrorData, detail: string): ExitStatus {
  reportError(ctx, data, detail);
  return ExitStatus.FAILED;
}

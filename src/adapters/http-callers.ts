/** HTTP API for callers: OpenAI-style completions and plain services. */
import type {Context} from 'hono';
import {Hono} from 'hono';
import {createMiddleware} from 'hono/factory';
import type {Result} from 'neverthrow';

import type {
  CallerHandler,
  HeaderField,
  PlainResponse,
} from '../core/edges/index.js';
import {
  DEADLINE_HEADER,
  IDEMPOTENCY_KEY_HEADER,
  LAST_EVENT_ID_HEADER,
} from '../core/edges/index.js';
import type {Refusal} from '../core/errors/index.js';
import {Executed, RefusalReason} from '../core/errors/index.js';
import type {Supervisor} from '../core/supervision/index.js';
import {TaskName} from '../core/supervision/index.js';
import {
  sendCompletion,
  streamCompletion,
} from './callers/completion-response.js';
import type {CompletionRequest} from './callers/completion-codec.js';
import {decodeChat, decodeCompletion} from './callers/completion-codec.js';
import type {
  CompletionMetadata,
  CompletionFormatter,
} from './callers/completion-formatter.js';
import {
  ChatCompletionFormatter,
  TextCompletionFormatter,
} from './callers/completion-formatter.js';
import {createProblemResponse} from './callers/problem.js';
import {readBody, readJson} from './callers/read-body.js';
import {
  stripServicePrefix,
  isSafeRequestTarget,
  readRequestTarget,
} from './callers/service-path.js';

const BEARER_PREFIX = 'Bearer ';
const MAX_DEADLINE_MS = 24 * 60 * 60 * 1_000;

/**
 * Headers of requests and responses that are not forwarded: hop-by-hop headers
 * and those that the entry itself evaluates.
 */
const DROPPED_HEADERS = new Set([
  'authorization',
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  DEADLINE_HEADER,
]);

/** Statuses of responses without a body. */
const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 205, 304]);

interface Endpoint {
  decode(body: unknown): Result<CompletionRequest, Refusal>;
  createFormatter(metadata: CompletionMetadata): CompletionFormatter;
}

const COMPLETIONS: Endpoint = {
  decode: decodeCompletion,
  createFormatter: (metadata) => new TextCompletionFormatter(metadata),
};

const CHAT: Endpoint = {
  decode: decodeChat,
  createFormatter: (metadata) => new ChatCompletionFormatter(metadata),
};

/**
 * Creates the callers' HTTP application.
 *
 * @example
 * const app = createCallersApp({handler, supervisor});
 * serve({fetch: app.fetch, port: 8080});
 */
export function createCallersApp(options: {
  handler: CallerHandler;
  /** Holds failures of single requests. */
  supervisor: Supervisor;
}): Hono {
  const {handler, supervisor} = options;
  const app = new Hono();
  app.use(checkRequestTarget(handler));
  app.use('/v1/*', checkHeaders(handler));
  app.use('/services/*', checkHeaders(handler));
  app.post('/v1/completions', (ctx) => complete(ctx, options, COMPLETIONS));
  app.post('/v1/chat/completions', (ctx) => complete(ctx, options, CHAT));
  app.all('/services/:service/*', (ctx) => callService(ctx, handler));
  app.notFound((ctx) => {
    const detail = `nothing is served under ${ctx.req.path}`;
    return refuse(handler, RefusalReason.UNKNOWN_SERVICE, detail);
  });
  app.onError((err) => {
    supervisor.run({name: TaskName.REQUEST}, () => {
      throw err;
    });
    return sendRefusal(handler, createFailureRefusal());
  });
  return app;
}

/** Refuses request targets that could resolve outside their service. */
function checkRequestTarget(handler: CallerHandler) {
  return createMiddleware(async (ctx, next) => {
    if (isSafeRequestTarget(readRequestTarget(ctx))) return next();
    const detail = 'the path has dot segments, backslashes or broken escapes';
    return refuse(handler, RefusalReason.BAD_REQUEST, detail);
  });
}

/**
 * Checks the key and the deadline before the body is read, so that callers
 * without a valid key can neither use memory nor probe the limits of the entry.
 */
function checkHeaders(handler: CallerHandler) {
  return createMiddleware(async (ctx, next) => {
    const auth = handler.authenticate({
      bearer: readBearer(ctx),
      headers: getForwardedHeaders(ctx),
      idempotencyKey: ctx.req.header(IDEMPOTENCY_KEY_HEADER) ?? '',
    });
    if (auth.isErr()) return createProblemResponse(auth.error);
    if (Number.isNaN(readDeadline(ctx))) return refuseDeadline(handler);
    return next();
  });
}

async function complete(
  ctx: Context,
  options: {handler: CallerHandler; supervisor: Supervisor},
  endpoint: Endpoint,
): Promise<Response> {
  const {handler, supervisor} = options;
  const limits = handler.limits();
  const body = await readJson({req: ctx.req.raw, limits});
  const request = body.andThen((value) => endpoint.decode(value));
  if (request.isErr()) return sendRefusal(handler, request.error);
  const {spec, stream, includeUsage} = request.value;
  const generation = await handler.generate({
    bearer: readBearer(ctx),
    spec,
    deadlineMs: readDeadline(ctx),
    lastEventId: ctx.req.header(LAST_EVENT_ID_HEADER) ?? '',
    signal: ctx.req.raw.signal,
  });
  if (generation.isErr()) return createProblemResponse(generation.error);
  const reader = generation.value;
  const formatter = endpoint.createFormatter({
    requestId: reader.requestId,
    model: spec.model,
    createdMs: Date.now(),
  });
  const responseOptions = {ctx, reader, formatter, includeUsage, supervisor};
  return stream
    ? streamCompletion(responseOptions)
    : sendCompletion(responseOptions);
}

async function callService(
  ctx: Context,
  handler: CallerHandler,
): Promise<Response> {
  const limits = handler.limits();
  const body = await readBody({req: ctx.req.raw, limits});
  if (body.isErr()) return sendRefusal(handler, body.error);
  const service = ctx.req.param('service') ?? '';
  const response = await handler.call({
    bearer: readBearer(ctx),
    service,
    method: ctx.req.method,
    path: stripServicePrefix(readRequestTarget(ctx)),
    headers: getForwardedHeaders(ctx),
    body: body.value,
    idempotencyKey: ctx.req.header(IDEMPOTENCY_KEY_HEADER) ?? '',
    deadlineMs: readDeadline(ctx),
    signal: ctx.req.raw.signal,
  });
  return response.match(
    (res) => forwardResponse(handler, res),
    (refusal) => createProblemResponse(refusal),
  );
}

/** Forwards a service's response, unless HTTP cannot represent it. */
function forwardResponse(handler: CallerHandler, res: PlainResponse): Response {
  try {
    return new Response(hasBody(res.status) ? Buffer.from(res.body) : null, {
      status: res.status,
      headers: res.headers
        .filter(({name}) => !DROPPED_HEADERS.has(name.toLowerCase()))
        .map(({name, value}): [string, string] => [name, value]),
    });
  } catch (cause) {
    return sendRefusal(handler, createInvalidResponseRefusal(cause as Error));
  }
}

function hasBody(status: number): boolean {
  return !STATUSES_WITHOUT_BODY.has(status);
}

function getForwardedHeaders(ctx: Context): HeaderField[] {
  const fields: HeaderField[] = [];
  ctx.req.raw.headers.forEach((value, name) => {
    if (!DROPPED_HEADERS.has(name)) fields.push({name, value});
  });
  return fields;
}

function readBearer(ctx: Context): string {
  const value = ctx.req.header('authorization') ?? '';
  return value.startsWith(BEARER_PREFIX)
    ? value.slice(BEARER_PREFIX.length)
    : '';
}

/** Returns the value of the deadline header; NaN if it is malformed. */
function readDeadline(ctx: Context): number | undefined {
  const text = ctx.req.header(DEADLINE_HEADER);
  if (text === undefined) return undefined;
  const value = Number(text);
  const isValid = Number.isInteger(value) && value > 0;
  return isValid && value <= MAX_DEADLINE_MS ? value : Number.NaN;
}

function refuseDeadline(handler: CallerHandler): Response {
  const detail = `${DEADLINE_HEADER} is a number of milliseconds`;
  return refuse(handler, RefusalReason.BAD_REQUEST, detail);
}

/** Creates the refusal for a service's response that HTTP cannot represent. */
function createInvalidResponseRefusal(err: Error): Refusal {
  const detail = `the answer cannot be passed on: ${err.message}`;
  return {reason: RefusalReason.TARGET_FAILED, ran: Executed.UNKNOWN, detail};
}

function createFailureRefusal(): Refusal {
  const detail = 'the request could not be handled';
  return {reason: RefusalReason.TARGET_FAILED, ran: Executed.UNKNOWN, detail};
}

function refuse(
  handler: CallerHandler,
  reason: RefusalReason,
  detail: string,
): Response {
  return sendRefusal(handler, {reason, ran: Executed.NO, detail});
}

function sendRefusal(handler: CallerHandler, refusal: Refusal): Response {
  handler.countRefusal(refusal);
  return createProblemResponse(refusal);
}

import {createParser} from 'eventsource-parser';
import type {Dispatcher} from 'undici';
import {request} from 'undici';

import {toHttpFailure} from '../../../adapters/http-call.js';
import {
  DEADLINE_HEADER,
  LAST_EVENT_ID_HEADER,
} from '../../../core/edges/index.js';
import {Executed} from '../../../core/errors/index.js';
import type {ProblemDocument} from '../../http/index.js';
import {
  toHttpError,
  hasProblemContentType,
  parseProblem,
  parseRetryAfter,
} from '../../http/index.js';
import type {GenerationOutput} from './generation-output.js';
import type {StreamEnd} from './types.js';
import {StreamEndKind} from './types.js';

/** Silence after which a stream counts as broken, in milliseconds. */
const STREAM_TIMEOUT_MS = 30_000;

const OK_STATUS = 200;

/** First HTTP status by which a server blames itself. */
const FIRST_SERVER_ERROR = 500;

/**
 * Posts a completion to one entry and feeds its events to the answer, until
 * the answer ends or the connection breaks.
 */
export async function readStream(options: {
  url: string;
  key: string;
  body: string;
  answer: GenerationOutput;
  /** Time left for the whole answer. */
  deadlineMs: number;
  signal: AbortSignal;
}): Promise<StreamEnd> {
  const {url, body, answer, signal} = options;
  try {
    const res = await request(url, {
      method: 'POST',
      headers: createHeaders(options),
      body,
      headersTimeout: STREAM_TIMEOUT_MS,
      bodyTimeout: STREAM_TIMEOUT_MS,
      signal,
    });
    return res.statusCode === OK_STATUS
      ? await readEvents(res, answer)
      : await readRefusal(res);
  } catch (thrown) {
    const {detail} = toHttpError(toHttpFailure(thrown));
    return {kind: StreamEndKind.BROKEN, detail};
  }
}

function createHeaders(options: {
  key: string;
  answer: GenerationOutput;
  deadlineMs: number;
}): Record<string, string> {
  const headers: Record<string, string> = {
    accept: 'text/event-stream',
    authorization: `Bearer ${options.key}`,
    'content-type': 'application/json',
    [DEADLINE_HEADER]: String(options.deadlineMs),
  };
  const {lastEventId} = options.answer;
  if (lastEventId !== undefined) {
    headers[LAST_EVENT_ID_HEADER] = lastEventId;
  }
  return headers;
}

async function readEvents(
  res: Dispatcher.ResponseData,
  answer: GenerationOutput,
): Promise<StreamEnd> {
  let end: StreamEnd | undefined;
  const parser = createParser({
    onEvent: (event) => {
      end ??= answer.onEvent(event);
    },
  });
  const decoder = new TextDecoder();
  for await (const chunk of res.body as AsyncIterable<Uint8Array>) {
    parser.feed(decoder.decode(chunk, {stream: true}));
    if (end !== undefined) {
      return end;
    }
  }
  const detail = 'the stream closed before the answer ended';
  return {kind: StreamEndKind.BROKEN, detail};
}

async function readRefusal(res: Dispatcher.ResponseData): Promise<StreamEnd> {
  const {statusCode: status, headers} = res;
  const text = await res.body.text();
  const retryAfterMs = parseRetryAfter(headers);
  const problem = hasProblemContentType(headers)
    ? parseProblem(text).extract()
    : undefined;
  if (problem !== undefined) {
    return {kind: StreamEndKind.REFUSED, problem, retryAfterMs};
  }
  if (status < FIRST_SERVER_ERROR) {
    const unnamed = createUnnamedProblem(status, text);
    return {kind: StreamEndKind.REFUSED, problem: unnamed};
  }
  const detail = `status ${status} without a problem document`;
  return {kind: StreamEndKind.BROKEN, detail, retryAfterMs};
}

/** Stands for a refusal that comes from something else than an entry. */
function createUnnamedProblem(status: number, detail: string): ProblemDocument {
  return {status, title: '', detail, reason: 'unnamed', ran: Executed.UNKNOWN};
}

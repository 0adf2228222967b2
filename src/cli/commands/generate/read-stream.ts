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

/** Time without data after which a stream counts as broken, in milliseconds. */
const STREAM_TIMEOUT_MS = 30_000;

const OK_STATUS = 200;

/** First HTTP status that reports a server error. */
const FIRST_SERVER_ERROR_STATUS = 500;

/**
 * Requests a completion from one entry and passes its events to `output`,
 * until the output ends or the connection breaks.
 *
 * @example
 * await readStream({url, key, body, output, deadlineMs: 60_000, signal});
 */
export async function readStream(options: {
  url: string;
  /** Bearer key of a client account. */
  key: string;
  body: string;
  output: GenerationOutput;
  /** Time left for the complete output, in milliseconds. */
  deadlineMs: number;
  signal: AbortSignal;
}): Promise<StreamEnd> {
  const {url, body, output, signal} = options;
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
      ? await readEvents(res, output)
      : await readRefusal(res);
  } catch (thrown) {
    const {detail} = toHttpError(toHttpFailure(thrown));
    return {kind: StreamEndKind.BROKEN, detail};
  }
}

function createHeaders(options: {
  key: string;
  output: GenerationOutput;
  deadlineMs: number;
}): Record<string, string> {
  const headers: Record<string, string> = {
    accept: 'text/event-stream',
    authorization: `Bearer ${options.key}`,
    'content-type': 'application/json',
    [DEADLINE_HEADER]: String(options.deadlineMs),
  };
  const {lastEventId} = options.output;
  if (lastEventId !== undefined) {
    headers[LAST_EVENT_ID_HEADER] = lastEventId;
  }
  return headers;
}

async function readEvents(
  res: Dispatcher.ResponseData,
  output: GenerationOutput,
): Promise<StreamEnd> {
  let end: StreamEnd | undefined;
  const parser = createParser({
    onEvent: (event) => {
      end ??= output.onEvent(event);
    },
  });
  const decoder = new TextDecoder();
  for await (const chunk of res.body as AsyncIterable<Uint8Array>) {
    parser.feed(decoder.decode(chunk, {stream: true}));
    if (end !== undefined) {
      return end;
    }
  }
  const detail = 'the stream closed before the output was complete';
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
  if (status < FIRST_SERVER_ERROR_STATUS) {
    const unnamedProblem = createUnnamedProblem(status, text);
    return {kind: StreamEndKind.REFUSED, problem: unnamedProblem};
  }
  const detail = `status ${status} without a problem document`;
  return {kind: StreamEndKind.BROKEN, detail, retryAfterMs};
}

/** Creates the problem document for a refusal that does not contain one. */
function createUnnamedProblem(status: number, detail: string): ProblemDocument {
  return {status, title: '', detail, reason: 'unnamed', ran: Executed.UNKNOWN};
}

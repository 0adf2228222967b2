/** Sends generation requests at given times and records their results. */
import type {CompletionRequest} from '../../tools/lab/caller.js';
import {createTranscript, readStream} from '../../tools/lab/caller.js';
import {runAtTimes} from './arrivals.js';

/** Result of one request; times in milliseconds. */
export interface RequestResult {
  /** Index of the request in the load. */
  readonly index: number;
  readonly durationMs: number;
  /** Time since the start of the load. */
  readonly endedAtMs: number;
  /** Whether the output was complete by the deadline. */
  readonly metDeadline: boolean;
  /** Whether the response was a problem document. */
  readonly refused: boolean;
  /** Retry delay of the refusal; 0 if absent. */
  readonly retryAfterMs: number;
}

/** Options of a load. */
export interface LoadOptions {
  /** Times at which the requests start, relative to the start of the load. */
  readonly timesMs: readonly number[];
  /** Returns the URL for the request with an index. */
  readonly urlOf: (index: number) => string;
  readonly createRequest: (index: number) => CompletionRequest;
  /** Deadline sent with each request; the caller aborts the request then. */
  readonly deadlineMs: number;
}

/**
 * Sends the load and waits until every request has ended.
 *
 * @example
 * const results = await runLoad({timesMs, urlOf, createRequest, deadlineMs});
 */
export async function runLoad(options: LoadOptions): Promise<RequestResult[]> {
  const results: RequestResult[] = [];
  const startMs = performance.now();
  await runAtTimes({
    timesMs: options.timesMs,
    run: async (index) => {
      const result = await sendRequest(options, index);
      results.push({...result, endedAtMs: performance.now() - startMs});
    },
  });
  return results;
}

/**
 * Sends one request and reads the response until its end or the deadline.
 *
 * @example
 * const result = await sendRequest({urlOf, createRequest, deadlineMs}, 0);
 */
export async function sendRequest(
  options: Omit<LoadOptions, 'timesMs'>,
  index: number,
): Promise<Omit<RequestResult, 'endedAtMs'>> {
  const {urlOf, createRequest, deadlineMs} = options;
  const transcript = createTranscript();
  const startedMs = performance.now();
  const abortController = new AbortController();
  const timer = setTimeout(() => abortController.abort(), deadlineMs);
  const req = {...createRequest(index), deadlineMs};
  const {signal} = abortController;
  const url = urlOf(index);
  await readStream({url, req, transcript, signal}).catch(() => undefined);
  clearTimeout(timer);
  const durationMs = performance.now() - startedMs;
  const isComplete =
    transcript.doneEvents === 1 && transcript.finishReason !== '';
  const problem = transcript.errors[0] as {retryAfterMs?: number} | undefined;
  return {
    index,
    durationMs,
    metDeadline: isComplete && durationMs <= deadlineMs,
    refused: problem !== undefined,
    retryAfterMs: problem?.retryAfterMs ?? 0,
  };
}

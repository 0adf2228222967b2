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
  readonly timesMs: readonly number[];
  /** Returns the URL for the request with an index. */
  readonly urlOf: (index: number) => string;
  readonly createRequest: (index: number) => CompletionRequest;
  /** Time after which the caller aborts the request. */
  readonly deadlineMs: number;
}

/**
 * Sends the load and waits for the end of every request.
 *
 * @example
 * const ends = await runLoad({timesMs, urlOf, createRequest, deadlineMs: 1_000});
 */
export async function runLoad(options: LoadOptions): Promise<RequestResult[]> {
  const ends: RequestResult[] = [];
  const startMs = performance.now();
  await runAtTimes({
    timesMs: options.timesMs,
    run: async (index) => {
      const end = await sendOne(options, index);
      ends.push({...end, endedAtMs: performance.now() - startMs});
    },
  });
  return ends;
}

/** Sends one request and reads the response until the deadline. */
export async function sendOne(
  options: Omit<LoadOptions, 'timesMs'>,
  index: number,
): Promise<Omit<RequestResult, 'endedAtMs'>> {
  const {urlOf, createRequest: askOf, deadlineMs} = options;
  const transcript = createTranscript();
  const startedMs = performance.now();
  const abortController = new AbortController();
  const timer = setTimeout(() => abortController.abort(), deadlineMs);
  const ask = {...askOf(index), deadlineMs};
  const {signal} = abortController;
  const url = urlOf(index);
  await readStream({url, req: ask, transcript, signal}).catch(() => undefined);
  clearTimeout(timer);
  const tookMs = performance.now() - startedMs;
  const isComplete =
    transcript.doneEvents === 1 && transcript.finishReason !== '';
  const problem = transcript.errors[0] as {retryAfterMs?: number} | undefined;
  return {
    index,
    durationMs: tookMs,
    metDeadline: isComplete && tookMs <= deadlineMs,
    refused: problem !== undefined,
    retryAfterMs: problem?.retryAfterMs ?? 0,
  };
}

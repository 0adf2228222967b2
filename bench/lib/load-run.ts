/** Sends generations at given times and notes what becomes of each. */
import type {Ask} from '../../tools/lab/caller.js';
import {createTranscript, readStream} from '../../tools/lab/caller.js';
import {runAtTimes} from './arrivals.js';

/** What became of one request. */
export interface RequestResult {
  /** Index of the caller that sent it. */
  readonly index: number;
  readonly durationMs: number;
  /** From the start of the load. */
  readonly endedAtMs: number;
  /** Whole, and by its deadline. */
  readonly metDeadline: boolean;
  /** Refused with a problem document. */
  readonly refused: boolean;
  /** Time that the refusal names; 0 for none. */
  readonly retryAfterMs: number;
}

/** A load to send. */
export interface LoadOptions {
  readonly timesMs: readonly number[];
  /** Where the request of an index goes. */
  readonly urlOf: (index: number) => string;
  readonly createRequest: (index: number) => Ask;
  /** After this the caller goes away. */
  readonly deadlineMs: number;
}

/**
 * Sends the load and waits for the end of every request.
 *
 * @example
 * const ends = await runLoad({timesMs, urlOf, askOf, deadlineMs: 1_000});
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

/** Sends one request and reads its answer until its deadline. */
export async function sendOne(
  options: Omit<LoadOptions, 'timesMs'>,
  index: number,
): Promise<Omit<RequestResult, 'endedAtMs'>> {
  const {urlOf, createRequest: askOf, deadlineMs} = options;
  const transcript = createTranscript();
  const startedMs = performance.now();
  const gone = new AbortController();
  const timer = setTimeout(() => gone.abort(), deadlineMs);
  const ask = {...askOf(index), deadlineMs};
  const {signal} = gone;
  const url = urlOf(index);
  await readStream({url, ask, transcript, signal}).catch(() => undefined);
  clearTimeout(timer);
  const tookMs = performance.now() - startedMs;
  const whole = transcript.ends === 1 && transcript.finishReason !== '';
  const problem = transcript.errors[0] as {retryAfterMs?: number} | undefined;
  return {
    index,
    durationMs: tookMs,
    metDeadline: whole && tookMs <= deadlineMs,
    refused: problem !== undefined,
    retryAfterMs: problem?.retryAfterMs ?? 0,
  };
}

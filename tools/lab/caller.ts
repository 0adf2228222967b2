/** A test client that reads completion streams and resumes broken ones. */
import {createParser} from 'eventsource-parser';
import {request} from 'undici';

/** API key of the quickstart's client account, sent as a bearer token. */
export const DEMO_KEY = 'demo-key';

/** The parts of a response that a caller has received. */
export interface Transcript {
  /** Text received since the start or the last `restart` event. */
  text: string;
  /** Number of events that carried text; a restart does not reset it. */
  chunks: number;
  /** Number of `[DONE]` events. */
  doneEvents: number;
  /** Empty until the event with the finish reason arrives. */
  finishReason: string;
  /** Id of the last event that had one; empty if there was none. */
  lastEventId: string;
  /** Number of `restart` events; each discards the text received so far. */
  restarts: number;
  /** Problem documents received in the stream or instead of it. */
  errors: unknown[];
  /** Arrival time of each text event, as `performance.now()`. */
  arrivalsMs: number[];
  /** HTTP status of the last response; 0 before the first. */
  status: number;
}

/** Parameters of a completion request. */
export interface CompletionRequest {
  readonly prompt: string;
  readonly maxTokens: number;
  /** Model name; `quote-writer` by default. */
  readonly model?: string;
  /** Stop sequences; none by default. */
  readonly stop?: readonly string[];
  /** API key; `DEMO_KEY` by default. */
  readonly key?: string;
  /** Time limit for the whole response; the server's default if undefined. */
  readonly deadlineMs?: number;
}

interface CompletionData {
  readonly choices?: ReadonlyArray<{
    readonly text: string;
    readonly finish_reason: string | null;
  }>;
}

/** Creates an empty transcript. */
export function createTranscript(): Transcript {
  return {
    text: '',
    chunks: 0,
    doneEvents: 0,
    finishReason: '',
    lastEventId: '',
    restarts: 0,
    errors: [],
    arrivalsMs: [],
    status: 0,
  };
}

/**
 * Reads a stream into a transcript until it ends; rejects if the connection
 * fails. Resumes after the last event if the transcript has its id.
 *
 * @example
 * await readStream({url, req: {prompt, maxTokens: 8}, transcript});
 */
export async function readStream(options: {
  url: string;
  req: CompletionRequest;
  transcript: Transcript;
  signal?: AbortSignal;
  onChunk?: (transcript: Transcript) => void;
}): Promise<void> {
  const {url, req, transcript, signal, onChunk} = options;
  const {lastEventId} = transcript;
  const resumeHeaders =
    lastEventId === '' ? {} : {'last-event-id': lastEventId};
  const {deadlineMs} = req;
  const deadlineHeaders =
    deadlineMs === undefined ? {} : {'x-deadline-ms': String(deadlineMs)};
  const res = await request(`${url}/v1/completions`, {
    method: 'POST',
    signal,
    headersTimeout: 0,
    bodyTimeout: 0,
    headers: {
      'content-type': 'application/json',
      authorization: `Bearer ${req.key ?? DEMO_KEY}`,
      ...resumeHeaders,
      ...deadlineHeaders,
    },
    body: JSON.stringify(createBody(req)),
  });
  transcript.status = res.statusCode;
  if (res.statusCode !== 200) {
    transcript.errors.push(await res.body.json());
    return;
  }
  const parser = createParser({
    onEvent: (event) => {
      handleEvent(transcript, event);
      onChunk?.(transcript);
    },
  });
  const decoder = new TextDecoder();
  for await (const chunk of res.body) {
    parser.feed(decoder.decode(chunk as Uint8Array, {stream: true}));
  }
}

/**
 * Reads a response to its end; when the connection breaks, resumes at the next
 * entry. If all attempts fail, the returned transcript is incomplete.
 *
 * @example
 * const {text} = await readWithResume({urls, req: {prompt, maxTokens: 8}});
 */
export async function readWithResume(options: {
  urls: readonly string[];
  req: CompletionRequest;
  transcript?: Transcript;
  onChunk?: (transcript: Transcript) => void;
}): Promise<Transcript> {
  const {urls, req, transcript = createTranscript(), onChunk} = options;
  const maxAttempts = 40;
  for (let i = 0; i < maxAttempts; i++) {
    const url = urls[i % urls.length]!;
    await readStream({url, req, transcript, onChunk}).catch(() => undefined);
    if (transcript.doneEvents > 0 || transcript.errors.length > 0)
      return transcript;
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  return transcript;
}

function createBody(req: CompletionRequest): unknown {
  return {
    model: req.model ?? 'quote-writer',
    prompt: req.prompt,
    max_tokens: req.maxTokens,
    stop: req.stop,
    stream: true,
  };
}

function handleEvent(
  transcript: Transcript,
  event: {event?: string; id?: string; data: string},
): void {
  if (event.event === 'restart') {
    transcript.text = '';
    transcript.restarts++;
    return;
  }
  if (event.event === 'error') {
    transcript.errors.push(JSON.parse(event.data));
    return;
  }
  if (event.data === '[DONE]') {
    transcript.doneEvents++;
    return;
  }
  if (event.id !== undefined) transcript.lastEventId = event.id;
  const data = JSON.parse(event.data) as CompletionData;
  const choice = data.choices?.[0];
  if (choice === undefined) return;
  transcript.text += choice.text;
  if (choice.finish_reason !== null) {
    transcript.finishReason = choice.finish_reason;
    return;
  }
  transcript.chunks++;
  transcript.arrivalsMs.push(performance.now());
}

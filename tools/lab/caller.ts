/** A test client that reads completion streams and resumes broken ones. */
import {createParser} from 'eventsource-parser';
import {request} from 'undici';

/** Bearer key of the quickstart's client account. */
export const DEMO_KEY = 'demo-key';

/** The parts of a response that a caller has received. */
export interface Transcript {
  text: string;
  /** Number of events that carried text. */
  chunks: number;
  /** Number of `[DONE]` events. */
  doneEvents: number;
  finishReason: string;
  lastEventId: string;
  /** Number of `restart` events; each discards the text received so far. */
  restarts: number;
  /** Error documents received in the stream or instead of it. */
  errors: unknown[];
  /** Arrival time of each text event, as `performance.now()`. */
  arrivalsMs: number[];
  /** HTTP status of the last response. */
  status: number;
}

/** Parameters of a completion request. */
export interface CompletionRequest {
  readonly prompt: string;
  readonly maxTokens: number;
  readonly model?: string;
  readonly stop?: readonly string[];
  readonly key?: string;
  /** Deadline for the whole response, in milliseconds. */
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
 * Reads a stream into a transcript until it ends or breaks. If the transcript
 * holds an event id, the stream resumes after that event.
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
  const resume = lastEventId === '' ? {} : {'last-event-id': lastEventId};
  const {deadlineMs} = req;
  const deadline =
    deadlineMs === undefined ? {} : {'x-deadline-ms': String(deadlineMs)};
  const res = await request(`${url}/v1/completions`, {
    method: 'POST',
    signal,
    headersTimeout: 0,
    bodyTimeout: 0,
    headers: {
      'content-type': 'application/json',
      authorization: `Bearer ${req.key ?? DEMO_KEY}`,
      ...resume,
      ...deadline,
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
 * Reads a response to its end, resuming at the next entry after each break.
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

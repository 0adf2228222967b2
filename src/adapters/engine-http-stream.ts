/** A generation that an engine sends as server-sent events. */
import type {EventSourceMessage} from 'eventsource-parser';
import {createParser} from 'eventsource-parser';
import {
  array,
  Codec,
  enumeration,
  nullType,
  number,
  oneOf,
  string,
} from 'purify-ts';
import type {Dispatcher} from 'undici';
import {request} from 'undici';

import {decodeValue} from '../core/codec/decode-value.js';
import type {
  DriverError,
  EngineSink,
  EngineStream,
  Token,
} from '../core/edges/index.js';
import {DriverErrorKind, FinishReason} from '../core/edges/index.js';
import {createDriverError, toDriverError} from './driver-errors.js';
import type {OnHeaders} from './http-call.js';
import {
  decodeUtf8,
  FIRST_ERROR_STATUS,
  parseJson,
  requireHttpStatus,
  toHeaderFields,
  toHttpFailure,
} from './http-call.js';

/** Most text that an engine sends without a token, in characters. */
const MAX_IDLE_CHARS = 1024 * 1024;

/** Data of the event that ends a stream. */
const DONE = '[DONE]';

const CHUNK = Codec.interface({
  choices: array(
    Codec.interface({
      index: number,
      text: string,
      token_ids: array(number),
      finish_reason: oneOf([enumeration(FinishReason), nullType]),
    }),
  ),
});

/** Request and sink of a stream. */
export interface EngineHttpStreamOptions {
  readonly dispatcher: Dispatcher;
  readonly url: string;
  readonly body: string;
  /** Position in the output of the first token that the engine sends. */
  readonly position: number;
  /** Most tokens that the engine may send. */
  readonly maxTokens: number;
  readonly sink: EngineSink;
  readonly onHeaders: OnHeaders;
}

/**
 * Reads the output of one generation and passes it to its sink.
 *
 * @example
 * const stream = new EngineHttpStream(options);
 * stream.start();
 */
export class EngineHttpStream implements EngineStream {
  private readonly abort = new AbortController();
  private readonly parser = createParser({
    onEvent: (event) => this.onEvent(event),
  });
  private position: number;
  /** Characters since the last token. */
  private idleChars = 0;
  private isClosed = false;

  constructor(private readonly options: EngineHttpStreamOptions) {
    this.position = options.position;
  }

  /** Sends the request. */
  start(): void {
    this.readStream().catch((e: unknown) =>
      this.fail(toDriverError(toHttpFailure(e))),
    );
  }

  cancel(): void {
    this.isClosed = true;
    this.abort.abort();
  }

  private async readStream(): Promise<void> {
    const {dispatcher, url, body} = this.options;
    const res = await request(url, {
      dispatcher,
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body,
      signal: this.abort.signal,
    });
    requireHttpStatus(res);
    this.options.onHeaders(toHeaderFields(res.headers));
    if (res.statusCode >= FIRST_ERROR_STATUS) {
      return this.failRefused(res.statusCode);
    }
    for await (const text of decodeUtf8(res.body)) {
      if (this.isClosed) return;
      this.idleChars += text.length;
      this.parser.feed(text);
      if (this.idleChars > MAX_IDLE_CHARS)
        return this.failMalformed(`${this.idleChars} characters, no token`);
    }
    this.failLost('the stream ended without a finish reason');
  }

  private onEvent({data}: EventSourceMessage): void {
    if (this.isClosed) return;
    if (data === DONE) return this.failLost('done without a finish reason');
    decodeValue(CHUNK, parseJson(data)).match(
      ({choices}) => choices.forEach((choice) => this.handleChoice(choice)),
      (detail) => this.failMalformed(detail),
    );
  }

  private handleChoice(choice: {
    text: string;
    token_ids: number[];
    finish_reason: FinishReason | null;
  }): void {
    const tokens = toTokens(choice.token_ids, choice.text);
    const {position} = this;
    this.position += tokens.length;
    const {sink, maxTokens} = this.options;
    if (this.position > this.options.position + maxTokens)
      return this.failMalformed(`over ${maxTokens} tokens`);
    if (tokens.length > 0) {
      this.idleChars = 0;
      sink.onTokens({position, tokens});
    }
    if (choice.finish_reason !== null) this.finish(choice.finish_reason);
  }

  private finish(reason: FinishReason): void {
    // The sink may have cancelled the stream while it handled the last tokens.
    if (this.isClosed) return;
    this.cancel();
    this.options.sink.onFinish(reason);
  }

  private failRefused(status: number): void {
    this.fail(createDriverError(DriverErrorKind.REFUSED, `status ${status}`));
  }

  private failMalformed(detail: string): void {
    this.fail(createDriverError(DriverErrorKind.MALFORMED, detail));
  }

  private failLost(detail: string): void {
    this.fail(createDriverError(DriverErrorKind.LOST, detail));
  }

  private fail(err: DriverError): void {
    if (this.isClosed) return;
    this.cancel();
    this.options.sink.onFailure(err);
  }
}

/**
 * Assigns the text of a chunk to its last token, which completes the text; the
 * tokens before it have empty texts.
 */
function toTokens(ids: readonly number[], text: string): Token[] {
  const last = ids.length - 1;
  return ids.map((id, index) => ({id, text: index === last ? text : ''}));
}

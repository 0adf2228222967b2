/** Calls a model engine through its OpenAI-style HTTP API. */
import type {ResultAsync} from 'neverthrow';
import {array, Codec, number, string} from 'purify-ts';
import type {Dispatcher} from 'undici';

import type {
  DriverError,
  EngineDriver,
  EngineCommand,
  EngineReport,
  EngineSink,
  EngineStream,
  GenerationSpec,
  Token,
} from '../core/edges/index.js';
import {toDriverError} from './driver-errors.js';
import {checkStatus, fetchReport} from './driver-probe.js';
import {EngineHttpStream} from './engine-http-stream.js';
import type {OnHeaders} from './http-call.js';
import {callHttp, createPool} from './http-call.js';

/** Bytes that a generation may take on its connection, whatever they are. */
const MAX_GENERATION_BYTES = 256 * 1024 * 1024;

const ENGINE_REPORT = Codec.interface({
  running: number,
  waiting: number,
  capacity: number,
  instance: string,
  cachedPrefixes: array(string),
});

/**
 * Driver of one engine.
 *
 * @example
 * const driver = new HttpEngineDriver({baseUrl: 'http://127.0.0.1:8000'});
 */
export class HttpEngineDriver implements EngineDriver {
  private readonly baseUrl: string;
  private readonly onHeaders: OnHeaders;
  private readonly dispatcher: Dispatcher = createPool({
    keepsAlive: false,
    responseBytes: MAX_GENERATION_BYTES,
  });

  constructor(options: {
    baseUrl: string;
    /** Called with the headers of each response to a generation. */
    onHeaders?: OnHeaders;
  }) {
    this.baseUrl = options.baseUrl;
    this.onHeaders = options.onHeaders ?? (() => undefined);
  }

  generate(options: {
    requestId: string;
    spec: GenerationSpec;
    resumeFrom: readonly Token[];
    sink: EngineSink;
  }): EngineStream {
    const stream = new EngineHttpStream({
      dispatcher: this.dispatcher,
      url: `${this.baseUrl}/v1/completions`,
      body: JSON.stringify(toBody(options)),
      position: options.resumeFrom.length,
      maxTokens: options.spec.maxTokens,
      sink: options.sink,
      onHeaders: this.onHeaders,
    });
    stream.start();
    return stream;
  }

  probe(options: {timeoutMs: number}): ResultAsync<EngineReport, DriverError> {
    const {dispatcher, baseUrl} = this;
    const {timeoutMs} = options;
    return fetchReport({dispatcher, baseUrl, codec: ENGINE_REPORT, timeoutMs});
  }

  sendCommand(options: {
    command: EngineCommand;
    timeoutMs: number;
  }): ResultAsync<void, DriverError> {
    const {command, timeoutMs} = options;
    return callHttp({
      dispatcher: this.dispatcher,
      url: `${this.baseUrl}/orders`,
      method: 'POST',
      headers: [{name: 'content-type', value: 'application/json'}],
      body: JSON.stringify(command),
      timeoutMs,
    })
      .mapErr(toDriverError)
      .andThen(checkStatus)
      .map(() => undefined);
  }
}

function toBody(options: {
  requestId: string;
  spec: GenerationSpec;
  resumeFrom: readonly Token[];
}): object {
  const {requestId, spec, resumeFrom} = options;
  return {
    model: spec.model,
    prompt: spec.prompt,
    max_tokens: spec.maxTokens,
    stop: spec.stop,
    temperature: spec.temperature,
    priority: spec.priority,
    stream: true,
    request_id: requestId,
    resume_token_ids: resumeFrom.map((token) => token.id),
    return_token_ids: true,
  };
}

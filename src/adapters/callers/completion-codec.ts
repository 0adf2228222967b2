/** Decodes the bodies of completion requests. */
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {GetType} from 'purify-ts';
import {
  array,
  boolean,
  Codec,
  exactly,
  nullType,
  number,
  oneOf,
  optional,
  string,
} from 'purify-ts';

import type {GenerationSpec} from '../../core/edges/index.js';
import type {Refusal} from '../../core/errors/index.js';
import {Executed, RefusalReason} from '../../core/errors/index.js';

const DEFAULT_MAX_TOKENS = 256;
const DEFAULT_TEMPERATURE = 1;
const MAX_TEMPERATURE = 2;
const MAX_STOP_STRINGS = 4;

const STREAM_OPTIONS = Codec.interface({include_usage: optional(boolean)});

const SHARED_FIELDS = {
  model: string,
  max_tokens: optional(oneOf([number, nullType])),
  stop: optional(oneOf([string, array(string), nullType])),
  stream: optional(oneOf([boolean, nullType])),
  stream_options: optional(oneOf([STREAM_OPTIONS, nullType])),
  temperature: optional(oneOf([number, nullType])),
  n: optional(oneOf([number, nullType])),
};

const COMPLETION_BODY = Codec.interface({...SHARED_FIELDS, prompt: string});

const TEXT_PART = Codec.interface({type: exactly('text'), text: string});

const CHAT_MESSAGE = Codec.interface({
  role: string,
  content: oneOf([string, array(TEXT_PART)]),
});

const CHAT_BODY = Codec.interface({
  ...SHARED_FIELDS,
  max_completion_tokens: optional(oneOf([number, nullType])),
  messages: array(CHAT_MESSAGE),
});

type SharedBody = Omit<GetType<typeof COMPLETION_BODY>, 'prompt'>;

/** A decoded completion request. */
export interface CompletionRequest {
  readonly spec: GenerationSpec;
  /** Whether to send the output as server-sent events. */
  readonly stream: boolean;
  /** Whether an event stream has an event with the number of tokens. */
  readonly includeUsage: boolean;
}

/**
 * Decodes the body of `POST /v1/completions`.
 *
 * @example
 * decodeCompletion({model: 'quote-writer', prompt: 'Pallets to Łódź'});
 */
export function decodeCompletion(
  body: unknown,
): Result<CompletionRequest, Refusal> {
  return COMPLETION_BODY.decode(body).caseOf<
    Result<CompletionRequest, Refusal>
  >({
    Left: (detail) => err(createBadRequest(detail)),
    Right: (fields) => createRequest(fields, fields.prompt, fields.max_tokens),
  });
}

/**
 * Decodes the body of `POST /v1/chat/completions`.
 *
 * @example
 * decodeChat({model: 'm', messages: [{role: 'user', content: 'hoops?'}]});
 */
export function decodeChat(body: unknown): Result<CompletionRequest, Refusal> {
  return CHAT_BODY.decode(body).caseOf<Result<CompletionRequest, Refusal>>({
    Left: (detail) => err(createBadRequest(detail)),
    Right: (fields) => {
      if (fields.messages.length === 0) {
        return err(createBadRequest('messages holds at least one message'));
      }
      const maxTokens = fields.max_completion_tokens ?? fields.max_tokens;
      return createRequest(fields, renderChat(fields.messages), maxTokens);
    },
  });
}

/**
 * Renders a conversation as a prompt for the engine: one line per message, and
 * `assistant:` for the engine to continue.
 *
 * @example
 * // 'user: hoops?\nassistant:'
 * renderChat([{role: 'user', content: 'hoops?'}]);
 */
export function renderChat(
  messages: ReadonlyArray<GetType<typeof CHAT_MESSAGE>>,
): string {
  const lines = messages.map(
    ({role, content}) => `${role}: ${getMessageText(content)}\n`,
  );
  return `${lines.join('')}assistant:`;
}

function getMessageText(
  content: GetType<typeof CHAT_MESSAGE>['content'],
): string {
  if (typeof content === 'string') return content;
  return content.map(({text}) => text).join('');
}

function createRequest(
  fields: SharedBody,
  prompt: string,
  requestedMaxTokens: number | null | undefined,
): Result<CompletionRequest, Refusal> {
  const maxTokens = requestedMaxTokens ?? DEFAULT_MAX_TOKENS;
  const stop = toStopStrings(fields.stop);
  if (!Number.isInteger(maxTokens) || maxTokens < 1) {
    return err(createBadRequest('max_tokens is a whole number of at least 1'));
  }
  if ((fields.n ?? 1) !== 1) return err(createBadRequest('n is 1'));
  if (stop.length > MAX_STOP_STRINGS || stop.includes('')) {
    const detail = `stop holds up to ${MAX_STOP_STRINGS} non-empty strings`;
    return err(createBadRequest(detail));
  }
  const temperature = fields.temperature ?? DEFAULT_TEMPERATURE;
  if (temperature < 0 || temperature > MAX_TEMPERATURE) {
    return err(createBadRequest(`temperature is from 0 to ${MAX_TEMPERATURE}`));
  }
  const spec = {
    model: fields.model,
    prompt,
    maxTokens,
    stop,
    temperature,
    priority: 0,
  };
  return ok({
    spec,
    stream: fields.stream ?? false,
    includeUsage: fields.stream_options?.include_usage ?? false,
  });
}

function toStopStrings(stop: string | string[] | null | undefined): string[] {
  if (stop == null) return [];
  return typeof stop === 'string' ? [stop] : stop;
}

function createBadRequest(detail: string): Refusal {
  return {reason: RefusalReason.BAD_REQUEST, ran: Executed.NO, detail};
}

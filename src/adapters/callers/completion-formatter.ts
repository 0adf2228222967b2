/** Formats output as objects of the OpenAI API, for events or one document. */
import type {FinishReason} from '../../core/edges/index.js';

const MS_PER_SECOND = 1_000;

/** Number of tokens in a completion. */
export interface Usage {
  readonly completionTokens: number;
}

/** Formats one completion for its endpoint. */
export interface CompletionFormatter {
  /** Returns the data of an event with a part of the text. */
  formatDelta(text: string): unknown;
  /** Returns the data of the event with the finish reason. */
  formatEnd(reason: FinishReason): unknown;
  /** Returns the data of the event with the number of tokens. */
  formatUsage(usage: Usage): unknown;
  /** Returns the document with the complete text. */
  formatCompletion(options: {
    text: string;
    reason: FinishReason;
    usage: Usage;
  }): unknown;
}

/** Fields of every object of one completion. */
export interface CompletionMetadata {
  readonly requestId: string;
  readonly model: string;
  readonly createdMs: number;
}

/**
 * Formats completions for `/v1/completions`.
 *
 * @example
 * new TextCompletionFormatter(metadata).formatDelta('Ten pallets');
 */
export class TextCompletionFormatter implements CompletionFormatter {
  constructor(private readonly metadata: CompletionMetadata) {}

  formatDelta(text: string): unknown {
    return {...this.fields(), choices: [createTextChoice(text, null)]};
  }

  formatEnd(reason: FinishReason): unknown {
    return {...this.fields(), choices: [createTextChoice('', reason)]};
  }

  formatUsage(usage: Usage): unknown {
    return {...this.fields(), choices: [], usage: createUsage(usage)};
  }

  formatCompletion(options: {
    text: string;
    reason: FinishReason;
    usage: Usage;
  }): unknown {
    return {
      ...this.fields(),
      choices: [createTextChoice(options.text, options.reason)],
      usage: createUsage(options.usage),
    };
  }

  private fields() {
    const {requestId, model, createdMs} = this.metadata;
    const created = Math.floor(createdMs / MS_PER_SECOND);
    return {id: `cmpl-${requestId}`, object: 'text_completion', created, model};
  }
}

/**
 * Formats completions for `/v1/chat/completions`. The first event of a
 * completion has the role of the message.
 *
 * @example
 * new ChatCompletionFormatter(metadata).formatDelta('Ten pallets');
 */
export class ChatCompletionFormatter implements CompletionFormatter {
  private hasStarted = false;

  constructor(private readonly metadata: CompletionMetadata) {}

  formatDelta(text: string): unknown {
    const role = this.hasStarted ? {} : {role: 'assistant'};
    this.hasStarted = true;
    const delta = {...role, content: text};
    return this.chunk([{index: 0, delta, finish_reason: null}]);
  }

  formatEnd(reason: FinishReason): unknown {
    return this.chunk([{index: 0, delta: {}, finish_reason: reason}]);
  }

  formatUsage(usage: Usage): unknown {
    return {...this.chunk([]), usage: createUsage(usage)};
  }

  formatCompletion(options: {
    text: string;
    reason: FinishReason;
    usage: Usage;
  }): unknown {
    const {text, reason, usage} = options;
    const message = {role: 'assistant', content: text};
    return {
      ...this.fields('chat.completion'),
      choices: [{index: 0, message, finish_reason: reason}],
      usage: createUsage(usage),
    };
  }

  private chunk(choices: readonly unknown[]) {
    return {...this.fields('chat.completion.chunk'), choices};
  }

  private fields(object: string) {
    const {requestId, model, createdMs} = this.metadata;
    const created = Math.floor(createdMs / MS_PER_SECOND);
    return {id: `chatcmpl-${requestId}`, object, created, model};
  }
}

function createTextChoice(text: string, reason: FinishReason | null) {
  return {index: 0, text, logprobs: null, finish_reason: reason};
}

function createUsage({completionTokens}: Usage) {
  return {
    prompt_tokens: 0,
    completion_tokens: completionTokens,
    total_tokens: completionTokens,
  };
}

/** Formats output as OpenAI completions, as events or as one document. */
import type {FinishReason} from '../../core/edges/index.js';

const MS_PER_SECOND = 1_000;

/** Number of tokens in a completion. */
export interface Usage {
  readonly completionTokens: number;
}

/** Formats one completion as its endpoint returns it. */
export interface CompletionFormatter {
  /** A part of the text, as the data of one event. */
  formatDelta(text: string): unknown;
  /** The end, as the data of one event. */
  formatEnd(reason: FinishReason): unknown;
  /** The usage, as the data of one event. */
  formatUsage(usage: Usage): unknown;
  /** The complete document. */
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

/** Format of `/v1/completions`. */
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

/** Format of `/v1/chat/completions`. */
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

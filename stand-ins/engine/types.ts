/** Types of the model engine stand-in. */
import type {FinishReason, Token} from '../../src/core/edges/index.js';
import type {OutputSpec} from './text.js';

/** How an engine ends a resumed generation too early. */
export enum EarlyEnd {
  NEVER = 'never',
  /** Reports a natural end of the output. */
  STOP = 'stop',
  /** Reports that `max_tokens` was reached. */
  LENGTH = 'length',
  /** Sends `[DONE]` without a finish reason. */
  NO_FINISH_REASON = 'no_reason',
}

/** Faults that can be set with `POST /faults`. */
export enum EngineFault {
  NONE = 'none',
  /** Exits without a response. */
  DIE = 'die',
  /** Accepts requests, but produces no tokens and responds to no probe. */
  STALL = 'stall',
  /** Multiplies the time per token by `factor`. */
  SLOW = 'slow',
  /** Responds 500 to completion requests. */
  FAIL_FAST = 'fail_fast',
}

/** Options of an engine. */
export interface EngineOptions {
  readonly address: string;
  readonly port: number;
  /** Time per token of a running generation, in milliseconds. */
  readonly paceMs: number;
  /** Prefill time of each uncached token, in microseconds. */
  readonly prefillUsPerToken: number;
  /** Maximum number of concurrent generations. */
  readonly capacity: number;
  /** Delay before health responses show a change of the load. */
  readonly reportLagMs: number;
  /** Whether commands with outdated fencing numbers are accepted. */
  readonly ignoresFencing: boolean;
  /** Text in a prompt that crashes the engine; empty to disable. */
  readonly crashOn: string;
  readonly earlyEnd: EarlyEnd;
  /** Limit that its responses to requests name; -1 for none. */
  readonly limitPerSecond: number;
  /** Ends the process. */
  readonly exit: () => void;
}

/** A requested generation. */
export interface Generation extends OutputSpec {
  readonly requestId: string;
  /** Waiting generations with higher values start first. */
  readonly priority: number;
  /** Ids of the tokens that the generation resumes after. */
  readonly resumeIds: readonly number[];
}

/** Receives a generation's tokens. */
export interface GenerationSink {
  onToken(token: Token): void;
  /** `reason` is undefined if the engine sends no finish reason. */
  onFinish(reason: FinishReason | undefined): void;
}

/** Number of tokens that one request resumed after and was sent. */
export interface RequestCount {
  readonly requestId: string;
  readonly resumedFrom: number;
  produced: number;
}

/** Counters since the start of the engine. */
export interface EngineCounts {
  tokensProduced: number;
  /** Tokens that were not cached when their generation started. */
  prefillTokens: number;
  started: number;
  finished: number;
  cancelled: number;
  readonly requests: RequestCount[];
}

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
  DIE = 'die',
  STALL = 'stall',
  SLOW = 'slow',
  FAIL_FAST = 'fail_fast',
}

/** Options of an engine. */
export interface EngineOptions {
  readonly address: string;
  readonly port: number;
  readonly paceMs: number;
  readonly prefillUsPerToken: number;
  /** Maximum number of concurrent generations. */
  readonly capacity: number;
  readonly reportLagMs: number;
  readonly ignoresFencing: boolean;
  /** Text in a prompt that crashes the engine; empty to disable. */
  readonly crashOn: string;
  readonly earlyEnd: EarlyEnd;
  /** Ends the process. */
  readonly exit: () => void;
}

/** A requested generation. */
export interface Generation extends OutputSpec {
  readonly requestId: string;
  readonly priority: number;
  readonly resumeIds: readonly number[];
}

/** Receives a generation's tokens. */
export interface GenerationSink {
  onToken(token: Token): void;
  /** `reason` is undefined if the engine sends no finish reason. */
  onFinish(reason: FinishReason | undefined): void;
}

/** Tokens resumed from and produced for one request. */
export interface RequestCount {
  readonly requestId: string;
  readonly resumedFrom: number;
  produced: number;
}

/** Counters since the start of the engine. */
export interface EngineCounts {
  tokensProduced: number;
  prefillTokens: number;
  started: number;
  finished: number;
  cancelled: number;
  readonly requests: RequestCount[];
}

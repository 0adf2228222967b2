/** Shapes of the model engine. */
import type {FinishReason, Token} from '../../src/core/edges/index.js';
import type {OutputSpec} from './text.js';

/** How an engine that resumed an answer ends it too early. */
export enum EarlyEnd {
  NEVER = 'never',
  /** Claims that the natural end was reached. */
  STOP = 'stop',
  /** Claims that `max_tokens` was reached. */
  LENGTH = 'length',
  /** Sends `[DONE]` without a finish reason. */
  NO_FINISH_REASON = 'no_reason',
}

/** Faults that tests order. */
export enum EngineFault {
  NONE = 'none',
  DIE = 'die',
  STALL = 'stall',
  SLOW = 'slow',
  FAIL_FAST = 'fail_fast',
}

/** How an engine behaves. */
export interface EngineOptions {
  readonly address: string;
  readonly port: number;
  readonly paceMs: number;
  readonly prefillUsPerToken: number;
  /** Generations that run at once. */
  readonly capacity: number;
  readonly reportLagMs: number;
  readonly ignoresFencing: boolean;
  /** A prompt that contains this crashes the engine; empty for none. */
  readonly crashOn: string;
  readonly earlyEnd: EarlyEnd;
  /** Ends the process. */
  readonly exit: () => void;
}

/** One generation as asked for. */
export interface Generation extends OutputSpec {
  readonly requestId: string;
  readonly priority: number;
  readonly resumeIds: readonly number[];
}

/** Receives a generation's tokens. */
export interface GenerationSink {
  onToken(token: Token): void;
  /** Undefined where the engine ends an answer without a reason. */
  onFinish(reason: FinishReason | undefined): void;
}

/** What one request cost. */
export interface RequestCount {
  readonly requestId: string;
  readonly resumedFrom: number;
  produced: number;
}

/** What the engine has done since its start. */
export interface EngineCounts {
  tokensProduced: number;
  prefillTokens: number;
  started: number;
  finished: number;
  cancelled: number;
  readonly requests: RequestCount[];
}

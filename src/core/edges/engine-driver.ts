/** The engine that runs on the same VM as an agent. */
import type {ResultAsync} from 'neverthrow';

import type {Layer, LayerError} from '../errors/types.js';

/** Why a driver call failed. */
export enum DriverErrorKind {
  /** The request never reached the target. */
  NOT_SENT = 'not_sent',
  /** The target refused the request before running it. */
  REFUSED = 'refused',
  /** Sent, but no complete response was received: it may have run. */
  LOST = 'lost',
  /**
   * No response within the time allowed: it may have run or still be running.
   */
  TIMEOUT = 'timeout',
  /** The response of the target is malformed. */
  MALFORMED = 'malformed',
  /** The target ran the request, and its response is too large to forward. */
  TOO_LARGE = 'too_large',
}

/** An error of the driver layer. */
export type DriverError = LayerError<Layer.DRIVER, DriverErrorKind>;

/** Why an engine ended the output. */
export enum FinishReason {
  /** The model ended its output or produced a stop string. */
  STOP = 'stop',
  /** The output has `maxTokens` tokens. */
  LENGTH = 'length',
}

/** One token of the output; its position is its index in the output. */
export interface Token {
  readonly id: number;
  /** Text completed by this token; empty while a character is incomplete. */
  readonly text: string;
}

/** Parameters of a generation. */
export interface GenerationSpec {
  readonly model: string;
  /** The prompt in the form that the engine accepts. */
  readonly prompt: string;
  /** Maximum number of output tokens, over all attempts. */
  readonly maxTokens: number;
  /** Strings that end the output. */
  readonly stop: readonly string[];
  readonly temperature: number;
  /** Higher values are scheduled first. */
  readonly priority: number;
}

/** Receives the output of an engine. */
export interface EngineSink {
  /** New tokens, the first of them at `position` of the output. */
  onTokens(options: {position: number; tokens: readonly Token[]}): void;
  /** The engine ended the output. Called at most once, and last. */
  onFinish(reason: FinishReason): void;
  /** The stream broke. Called at most once, and last. */
  onFailure(err: DriverError): void;
}

/** A running generation at an engine. */
export interface EngineStream {
  /** Stops the engine's work; no sink method is called afterwards. */
  cancel(): void;
}

/** Status reported by an engine; lags behind its actual state. */
export interface EngineReport {
  /** Number of requests that are running. */
  readonly running: number;
  /** Number of queued requests. */
  readonly waiting: number;
  /** Number of requests that can run concurrently. */
  readonly capacity: number;
  /** Id of the engine process; changes when it restarts. */
  readonly instance: string;
  /** Fingerprints of recently cached prompt prefixes; may be incomplete. */
  readonly cachedPrefixes: readonly string[];
}

/** Kinds of commands to an engine. */
export enum EngineCommandKind {
  LOAD_MODEL = 'load_model',
  LOAD_ADAPTER = 'load_adapter',
  SET_VERSION = 'set_version',
  SET_ROLE = 'set_role',
}

/** A command to an engine, guarded by a fencing number. */
export interface EngineCommand {
  readonly kind: EngineCommandKind;
  /** What is loaded or set, such as the name of a model. */
  readonly argument: string;
  /** Refused if the engine has already accepted a higher number. */
  readonly fencing: number;
}

/** Calls the engine that runs on the same VM as the agent. */
export interface EngineDriver {
  /** Starts a generation, or resumes it after the tokens in `resumeFrom`. */
  generate(options: {
    requestId: string;
    spec: GenerationSpec;
    resumeFrom: readonly Token[];
    sink: EngineSink;
  }): EngineStream;
  /** Checks whether the engine process responds. */
  probe(options: {timeoutMs: number}): ResultAsync<EngineReport, DriverError>;
  sendCommand(options: {
    command: EngineCommand;
    timeoutMs: number;
  }): ResultAsync<void, DriverError>;
}

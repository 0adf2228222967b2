import type {ResultAsync} from 'neverthrow';

import type {Layer, LayerError} from '../errors/types.js';

/** Why a driver call failed. */
export enum DriverErrorKind {
  /** The request certainly never reached the target. */
  NOT_SENT = 'not_sent',
  /** The target refused it before it ran. */
  REFUSED = 'refused',
  /** Sent, but no whole answer came: it may have run. */
  LOST = 'lost',
  /** No answer within the time allowed: it may have run or still run. */
  TIMEOUT = 'timeout',
  /** The target answered with something malformed. */
  MALFORMED = 'malformed',
  /** The target ran it and answered with more than can be passed on. */
  TOO_LARGE = 'too_large',
}

/** An error of the driver layer. */
export type DriverError = LayerError<Layer.DRIVER, DriverErrorKind>;

/** Why an engine ended an answer. */
export enum FinishReason {
  STOP = 'stop',
  LENGTH = 'length',
}

/** One token of an answer; its position is its index in the answer. */
export interface Token {
  readonly id: number;
  /** Text that this token completes; empty inside a character. */
  readonly text: string;
}

/** What a model is asked to write. */
export interface GenerationSpec {
  readonly model: string;
  /** The prompt as the engine takes it. */
  readonly prompt: string;
  /** Tokens of the whole answer, over all attempts. */
  readonly maxTokens: number;
  readonly stop: readonly string[];
  readonly temperature: number;
  /** Higher goes first. */
  readonly priority: number;
}

/** Receives what an engine writes. */
export interface EngineSink {
  /** New tokens, the first of them at `position` of the answer. */
  onTokens(options: {position: number; tokens: readonly Token[]}): void;
  /** The engine ended the answer. Called at most once, and last. */
  onFinish(reason: FinishReason): void;
  /** The stream broke. Called at most once, and last. */
  onFailure(err: DriverError): void;
}

/** A running generation at an engine. */
export interface EngineStream {
  /** Stops the engine's work; no sink method is called afterwards. */
  cancel(): void;
}

/** What an engine reports of itself, with a lag. */
export interface EngineReport {
  readonly running: number;
  readonly waiting: number;
  readonly capacity: number;
  /** Identity of the engine process; changes when it restarts. */
  readonly instance: string;
  /** Recently cached prompt prefixes, as fingerprints; has gaps. */
  readonly cachedPrefixes: readonly string[];
}

/** Kinds of orders to an engine. */
export enum EngineCommandKind {
  LOAD_MODEL = 'load_model',
  LOAD_ADAPTER = 'load_adapter',
  SET_VERSION = 'set_version',
  SET_ROLE = 'set_role',
}

/** An order to an engine, guarded by a fencing number. */
export interface EngineCommand {
  readonly kind: EngineCommandKind;
  readonly argument: string;
  readonly fencing: number;
}

/** Speaks to the one engine beside the agent. */
export interface EngineDriver {
  /** Starts or, given `resumeFrom` tokens, goes on with an answer. */
  generate(options: {
    requestId: string;
    spec: GenerationSpec;
    resumeFrom: readonly Token[];
    sink: EngineSink;
  }): EngineStream;
  /** Asks whether the engine's process answers at all. */
  probe(options: {timeoutMs: number}): ResultAsync<EngineReport, DriverError>;
  sendCommand(options: {
    command: EngineCommand;
    timeoutMs: number;
  }): ResultAsync<void, DriverError>;
}

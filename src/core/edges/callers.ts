import type {Result, ResultAsync} from 'neverthrow';

import type {LimitsConfig} from '../config/types.js';
import type {Refusal} from '../errors/refusals.js';
import type {FinishReason, GenerationSpec, Token} from './engine-driver.js';
import type {HeaderField, PlainResponse} from './service-driver.js';

/** Header with the time allowed for the whole answer, in milliseconds. */
export const DEADLINE_HEADER = 'x-deadline-ms';

/** Header with the position from which a caller goes on. */
export const LAST_EVENT_ID_HEADER = 'last-event-id';

/** Header with the key under which a call runs at most once. */
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';

/** A request for a generation, as a caller made it. */
export interface GenerationReq {
  /** Bearer key; empty when there was none. */
  readonly bearer: string;
  readonly spec: GenerationSpec;
  /** Time allowed for the whole answer; undefined for the service's own. */
  readonly deadlineMs?: number;
  /** Value of `Last-Event-ID`; empty for a new request. */
  readonly lastEventId: string;
  /** Aborted when the caller goes away. */
  readonly signal?: AbortSignal;
}

/** A request to a plain service, as a caller made it. */
export interface PlainReq {
  readonly bearer: string;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
  /** Value of `Idempotency-Key`; empty when there was none. */
  readonly idempotencyKey: string;
  readonly deadlineMs?: number;
  /** Aborted when the caller goes away. */
  readonly signal?: AbortSignal;
}

/** What is known of a request before its body is read. */
export type RequestHead = Pick<
  PlainReq,
  'bearer' | 'headers' | 'idempotencyKey'
>;

/** What a caller reads next of its answer. */
export enum OutputPartKind {
  TOKENS = 'tokens',
  FINISHED = 'finished',
  REFUSED = 'refused',
}

/** Tokens that follow those read before. */
export interface TokensPart {
  readonly kind: OutputPartKind.TOKENS;
  readonly tokens: readonly Token[];
  /** Event identity with which the caller goes on after these tokens. */
  readonly eventId: string;
}

/** The answer is whole. */
export interface FinishedPart {
  readonly kind: OutputPartKind.FINISHED;
  readonly finishReason: FinishReason;
  /** Tokens of the whole answer. */
  readonly completionTokens: number;
  /** Event identity with which the end alone can be read again. */
  readonly eventId: string;
}

/** The answer was given up on. */
export interface RefusedPart {
  readonly kind: OutputPartKind.REFUSED;
  readonly refusal: Refusal;
}

/** One step of reading an answer. */
export type OutputPart = TokensPart | FinishedPart | RefusedPart;

/** Reads one answer at the caller's own pace. */
export interface OutputReader {
  readonly requestId: string;
  /** The caller must discard what it had of an earlier attempt. */
  readonly restarted: boolean;
  /** Waits for the next part; FINISHED and REFUSED come once, and last. */
  next(): Promise<OutputPart>;
  /** The caller is gone. */
  close(): void;
}

/** Serves callers; an adapter turns their protocol into these calls. */
export interface CallerHandler {
  /** Bounds to apply before a request is read. */
  limits(): LimitsConfig;
  /** Checks a bearer key before the body of its request is read. */
  authenticate(head: RequestHead): Result<void, Refusal>;
  generate(req: GenerationReq): ResultAsync<OutputReader, Refusal>;
  call(req: PlainReq): ResultAsync<PlainResponse, Refusal>;
  /** Counts a refusal that the adapter itself decided. */
  countRefusal(refusal: Refusal): void;
}

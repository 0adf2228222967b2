/** Callers of an entry and the requests that they send. */
import type {Result, ResultAsync} from 'neverthrow';

import type {LimitsConfig} from '../config/types.js';
import type {Refusal} from '../errors/refusals.js';
import type {FinishReason, GenerationSpec, Token} from './engine-driver.js';
import type {HeaderField, PlainResponse} from './service-driver.js';

/** Header with the time allowed for the complete response, in milliseconds. */
export const DEADLINE_HEADER = 'x-deadline-ms';

/** Header with the id of the last event received, after which to resume. */
export const LAST_EVENT_ID_HEADER = 'last-event-id';

/** Header with the key under which a call runs at most once. */
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';

/** A caller's request for a generation. */
export interface GenerationReq {
  /** Bearer key; empty when absent. */
  readonly bearer: string;
  readonly spec: GenerationSpec;
  /**
   * Time allowed for the complete output; undefined for the service's default.
   */
  readonly deadlineMs?: number;
  /** Value of `Last-Event-ID`; empty for a new request. */
  readonly lastEventId: string;
  /** Aborted when the caller disconnects. */
  readonly signal?: AbortSignal;
}

/** A caller's request to a plain service. */
export interface PlainReq {
  readonly bearer: string;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
  /** Value of `Idempotency-Key`; empty when absent. */
  readonly idempotencyKey: string;
  /**
   * Time allowed for the complete response; undefined for the service's
   * default.
   */
  readonly deadlineMs?: number;
  /** Aborted when the caller disconnects. */
  readonly signal?: AbortSignal;
}

/** The part of a request that is available before its body is read. */
export type RequestHead = Pick<
  PlainReq,
  'bearer' | 'headers' | 'idempotencyKey'
>;

/** Kinds of parts that an OutputReader returns. */
export enum OutputPartKind {
  TOKENS = 'tokens',
  FINISHED = 'finished',
  REFUSED = 'refused',
}

/** Tokens that follow the ones already read. */
export interface TokensPart {
  readonly kind: OutputPartKind.TOKENS;
  readonly tokens: readonly Token[];
  /** Event id from which the caller can resume after these tokens. */
  readonly eventId: string;
}

/** The output is complete. */
export interface FinishedPart {
  readonly kind: OutputPartKind.FINISHED;
  readonly finishReason: FinishReason;
  /** Number of tokens in the complete output. */
  readonly completionTokens: number;
  /** Event id from which only this final part is sent again. */
  readonly eventId: string;
}

/** The generation failed; no more output follows. */
export interface RefusedPart {
  readonly kind: OutputPartKind.REFUSED;
  readonly refusal: Refusal;
}

/** One part of the output of a generation. */
export type OutputPart = TokensPart | FinishedPart | RefusedPart;

/** Reads the output of one generation, as fast as the caller accepts it. */
export interface OutputReader {
  readonly requestId: string;
  /** Whether the caller must discard the output of an earlier attempt. */
  readonly restarted: boolean;
  /** Waits for the next part; the last one is FINISHED or REFUSED. */
  next(): Promise<OutputPart>;
  /** Stops reading, as the caller has disconnected. */
  close(): void;
}

/** Serves callers; an adapter translates their protocol into these calls. */
export interface CallerHandler {
  /** Limits to apply while a request is read. */
  limits(): LimitsConfig;
  /** Checks a bearer key before the body of its request is read. */
  authenticate(head: RequestHead): Result<void, Refusal>;
  generate(req: GenerationReq): ResultAsync<OutputReader, Refusal>;
  call(req: PlainReq): ResultAsync<PlainResponse, Refusal>;
  /** Counts a refusal made by the adapter itself. */
  countRefusal(refusal: Refusal): void;
}

import type {Layer, LayerError, Executed} from '../../core/errors/index.js';

/** Why a call has no usable response. */
export enum HttpErrorKind {
  /** The request was not sent, so it did not run. */
  NOT_SENT = 'http_not_sent',
  /** The response was lost, so the request may have run. */
  LOST = 'http_lost',
  /** The response has an unknown format. */
  MALFORMED = 'http_malformed',
}

/** An error of an HTTP call. */
export type HttpError = LayerError<Layer.CLI, HttpErrorKind>;

/** A refusal, as described by an entry's problem document. */
export interface ProblemDocument {
  readonly status: number;
  readonly title: string;
  readonly detail: string;
  readonly reason: string;
  /** Whether the request was executed. */
  readonly ran: Executed;
}

/** A response that was read completely. */
export interface HttpResponse {
  readonly status: number;
  readonly body: string;
  /** Present if the called process itself refused the request. */
  readonly problem?: ProblemDocument;
  /** Present if the response has a `Retry-After` header. */
  readonly retryAfterMs?: number;
}

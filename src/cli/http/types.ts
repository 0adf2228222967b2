import type {Layer, LayerError, Executed} from '../../core/errors/index.js';

/** Why a call of the tool got no answer. */
export enum HttpErrorKind {
  /** No connection: the request certainly did not run. */
  NOT_SENT = 'http_not_sent',
  /** The answer was lost: the request may have run. */
  LOST = 'http_lost',
  /** The answer has another shape. */
  MALFORMED = 'http_malformed',
}

/** An error of a call of the tool. */
export type HttpError = LayerError<Layer.CLI, HttpErrorKind>;

/** A refusal as an entry's problem document tells it. */
export interface ProblemDocument {
  readonly status: number;
  readonly title: string;
  readonly detail: string;
  readonly reason: string;
  readonly ran: Executed;
}

/** An answer that was read whole. */
export interface HttpResponse {
  readonly status: number;
  readonly body: string;
  /** Present where the process itself refused the request. */
  readonly problem?: ProblemDocument;
  /** Present where the answer says when to come back. */
  readonly retryAfterMs?: number;
}

/** Errors of the store layer that the HTTP store returns. */
import type {StoreError} from '../core/edges/index.js';
import {StoreErrorKind} from '../core/edges/index.js';
import {Layer} from '../core/errors/types.js';
import type {HttpFailure} from './http-call.js';
import {HttpFailureKind} from './http-call.js';

/** Kinds of calls to the store; the same failure is another error for each. */
export enum StoreCall {
  CREATE = 'create',
  /** An update or a removal. */
  CHANGE = 'change',
  /** A read, a list or a watch. */
  READ = 'read',
}

const FIRST_SERVER_ERROR_STATUS = 500;

/**
 * Creates an error of the store layer.
 *
 * @example
 * err(createStoreError(StoreErrorKind.INVALID, 'no JSON value'));
 */
export function createStoreError(
  kind: StoreErrorKind,
  detail: string,
): StoreError {
  return {layer: Layer.STORE, kind, detail};
}

/**
 * Converts a call without a response to an error. A write that was sent may
 * have taken effect; a read has no effect.
 *
 * @example
 * callHttp(options).mapErr((failure) => toStoreError(StoreCall.READ, failure));
 */
export function toStoreError(
  call: StoreCall,
  failure: HttpFailure,
): StoreError {
  const hadNoEffect =
    call === StoreCall.READ || failure.kind === HttpFailureKind.NOT_SENT;
  const kind = hadNoEffect
    ? StoreErrorKind.UNAVAILABLE
    : StoreErrorKind.UNKNOWN;
  return createStoreError(kind, failure.detail);
}

/**
 * Converts an error status to an error of the store layer.
 *
 * @example
 * err(createStatusError(StoreCall.CREATE, 409));
 */
export function createStatusError(call: StoreCall, status: number): StoreError {
  return createStoreError(toErrorKind(call, status), `status ${status}`);
}

/**
 * Creates the error for a malformed response. A write with such a response may
 * have taken effect.
 *
 * @example
 * err(createMalformedError(StoreCall.READ, detail));
 */
export function createMalformedError(
  call: StoreCall,
  detail: string,
): StoreError {
  const isRead = call === StoreCall.READ;
  const kind = isRead ? StoreErrorKind.INVALID : StoreErrorKind.UNKNOWN;
  return createStoreError(kind, detail);
}

function toErrorKind(call: StoreCall, status: number): StoreErrorKind {
  switch (status) {
    case 404:
    case 410:
      return StoreErrorKind.NOT_FOUND;
    case 409:
    case 412:
      return call === StoreCall.CREATE
        ? StoreErrorKind.EXISTS
        : StoreErrorKind.CONFLICT;
    case 429:
    case 503:
      return StoreErrorKind.UNAVAILABLE;
    default:
      return toErrorKindByRange(call, status);
  }
}

function toErrorKindByRange(call: StoreCall, status: number): StoreErrorKind {
  if (status < FIRST_SERVER_ERROR_STATUS) return StoreErrorKind.INVALID;
  if (call === StoreCall.READ) return StoreErrorKind.UNAVAILABLE;
  return StoreErrorKind.UNKNOWN;
}

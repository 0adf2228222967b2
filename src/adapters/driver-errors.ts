/** Errors of the driver layer that HTTP drivers return. */
import type {DriverError} from '../core/edges/index.js';
import {DriverErrorKind} from '../core/edges/index.js';
import {Layer} from '../core/errors/types.js';
import type {HttpFailure} from './http-call.js';
import {HttpFailureKind} from './http-call.js';

const DRIVER_ERROR_KINDS: Readonly<Record<HttpFailureKind, DriverErrorKind>> = {
  [HttpFailureKind.NOT_SENT]: DriverErrorKind.NOT_SENT,
  [HttpFailureKind.TIMEOUT]: DriverErrorKind.TIMEOUT,
  [HttpFailureKind.BROKEN]: DriverErrorKind.LOST,
  [HttpFailureKind.TOO_LARGE]: DriverErrorKind.TOO_LARGE,
};

/**
 * Creates an error of the driver layer.
 *
 * @example
 * err(createDriverError(DriverErrorKind.REFUSED, 'status 503'));
 */
export function createDriverError(
  kind: DriverErrorKind,
  detail: string,
): DriverError {
  return {layer: Layer.DRIVER, kind, detail};
}

/**
 * Converts a failed HTTP call to an error of the driver layer.
 *
 * @example
 * callHttp(options).mapErr(toDriverError);
 */
export function toDriverError({kind, detail}: HttpFailure): DriverError {
  return createDriverError(DRIVER_ERROR_KINDS[kind], detail);
}

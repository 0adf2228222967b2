/** Admits requests by the routes and keys of a configuration. */
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';

import type {RefusalResponse} from '../edges/direct-caller.js';
import {RefusalReason} from '../errors/refusals.js';
import type {RouteTable} from './route-table.js';
import type {AccountKeys, Route} from './types.js';

/**
 * Time after which the caller may retry, in milliseconds. It may then reach
 * another entry, which may have a newer configuration.
 */
const RETRY_AFTER_MS = 150;

/** A request on arrival, and the configuration of the entry. */
export interface AdmissionInput {
  /** Undefined until a configuration is loaded. */
  readonly table?: RouteTable;
  /** Whether the configuration is confirmed to be recent. */
  readonly isTrusted: boolean;
  readonly host: string;
  readonly path: string;
  /** API key of the caller; undefined if it sent none. */
  readonly key?: string;
}

/** An admitted request. */
export interface AdmittedRequest {
  readonly table: RouteTable;
  readonly route: Route;
  /** Undefined if the route needs no key. */
  readonly account?: AccountKeys;
}

/**
 * Admits a request or returns the refusal. An entry whose configuration is not
 * confirmed to be recent refuses with 503 instead of 404 or 401.
 *
 * @example
 * const admitted = admitRequest({table, isTrusted: true, host, path, key});
 */
export function admitRequest(
  input: AdmissionInput,
): Result<AdmittedRequest, RefusalResponse> {
  const {table, isTrusted, host, path, key} = input;
  if (table === undefined) return err(unavailable(RefusalReason.NOT_READY));
  const route = table.findRoute({host, path});
  if (route === undefined) {
    if (!isTrusted) return err(unavailable(RefusalReason.STORE_UNAVAILABLE));
    return err({status: 404, reason: RefusalReason.UNKNOWN_SERVICE});
  }
  if (!table.requiresKey(route)) return ok({table, route});
  if (!isTrusted) return err(unavailable(RefusalReason.STORE_UNAVAILABLE));
  const account = key === undefined ? undefined : table.findAccount(key);
  if (account === undefined) {
    return err({status: 401, reason: RefusalReason.UNAUTHENTICATED});
  }
  return ok({table, route, account});
}

function unavailable(reason: RefusalReason): RefusalResponse {
  return {status: 503, reason, retryAfterMs: RETRY_AFTER_MS};
}

/** Whether a configuration lets a request in. */
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';

import type {RefusalResponse} from '../edges/direct-caller.js';
import {RefusalReason} from '../errors/refusals.js';
import type {RouteTable} from './route-table.js';
import type {AccountKeys, Route} from './types.js';

/** When a caller may find another entry that knows more, in milliseconds. */
const OTHER_ENTRY_MS = 150;

/** What is known of a request when it arrives. */
export interface AdmissionInput {
  /** Undefined before a configuration is known. */
  readonly table?: RouteTable;
  /** Whether the configuration is confirmed to be recent. */
  readonly isTrusted: boolean;
  readonly host: string;
  readonly path: string;
  readonly key?: string;
}

/** A request that was let in. */
export interface AdmittedRequest {
  readonly table: RouteTable;
  readonly route: Route;
  readonly account?: AccountKeys;
}

/**
 * Lets a request in or says why not. An entry that cannot vouch for its
 * configuration refuses with 503 in place of a verdict on routes or keys.
 *
 * @example
 * const admitted = admitRequest({table, isTrusted: true, host, path, key});
 */
export function admitRequest(
  facts: AdmissionInput,
): Result<AdmittedRequest, RefusalResponse> {
  const {table, isTrusted, host, path, key} = facts;
  if (table === undefined) return err(later(RefusalReason.NOT_READY));
  const route = table.findRoute({host, path});
  if (route === undefined) {
    if (!isTrusted) return err(later(RefusalReason.STORE_UNAVAILABLE));
    return err({status: 404, reason: RefusalReason.UNKNOWN_SERVICE});
  }
  if (!table.requiresKey(route)) return ok({table, route});
  if (!isTrusted) return err(later(RefusalReason.STORE_UNAVAILABLE));
  const account = key === undefined ? undefined : table.findAccount(key);
  if (account === undefined) {
    return err({status: 401, reason: RefusalReason.UNAUTHENTICATED});
  }
  return ok({table, route, account});
}

function later(reason: RefusalReason): RefusalResponse {
  return {status: 503, reason, retryAfterMs: OTHER_ENTRY_MS};
}

/** Catalogue of the errors that are shown to callers and operators. */
import {RefusalReason} from './refusals.js';
import type {ErrorData} from './types.js';

/** The request is malformed. */
export const BAD_REQUEST = {
  name: 'bad_request',
  title: 'Bad request',
  message: 'The request is malformed.',
  hint: 'Correct the request; the detail names the fault.',
} as const satisfies ErrorData;

/** The request line and headers are longer than the limit. */
export const HEADERS_TOO_LARGE = {
  name: 'headers_too_large',
  title: 'Headers too large',
  message: 'The request line and headers exceed what a process reads.',
  hint: 'Send a shorter URL and fewer headers.',
} as const satisfies ErrorData;

/** The request did not arrive in the time allowed. */
export const HEADERS_TOO_SLOW = {
  name: 'headers_too_slow',
  title: 'Headers too slow',
  message: 'The request did not arrive in the time allowed.',
  hint: 'Send the request again over a faster connection.',
} as const satisfies ErrorData;

/** The body is longer than `limits.bodyBytes`. */
export const BODY_TOO_LARGE = {
  name: 'body_too_large',
  title: 'Body too large',
  message: 'The body exceeds limits.bodyBytes.',
  hint: 'Send a shorter body or raise the limit.',
} as const satisfies ErrorData;

/** The body did not arrive within `limits.bodyTimeoutMs`. */
export const BODY_TOO_SLOW = {
  name: 'body_too_slow',
  title: 'Body too slow',
  message: 'The body did not arrive within limits.bodyTimeoutMs.',
  hint: 'Send the request again over a faster connection.',
} as const satisfies ErrorData;

/** The bearer key belongs to no client account. */
export const UNAUTHENTICATED = {
  name: 'unauthenticated',
  title: 'Unauthenticated',
  message: 'The bearer key belongs to no client account.',
  hint: 'Send the key of a client account of this deployment.',
} as const satisfies ErrorData;

/** No service of this deployment has that name or serves that model. */
export const UNKNOWN_SERVICE = {
  name: 'unknown_service',
  title: 'Unknown service',
  message: 'No service of this deployment has that name or serves that model.',
  hint: 'Check the path or the model against the configuration.',
} as const satisfies ErrorData;

/**
 * `Last-Event-ID` is not an event id of this deployment, or belongs to another
 * request.
 */
export const BAD_EVENT_ID = {
  name: 'bad_event_id',
  title: 'Bad event id',
  message:
    'Last-Event-ID was not written by this deployment or belongs to another request.',
  hint: 'Send the id of the last event exactly as it was received.',
} as const satisfies ErrorData;

/** The service is not idempotent, and the request has no `Idempotency-Key`. */
export const KEY_MISSING = {
  name: 'key_missing',
  title: 'Idempotency key missing',
  message:
    'The service is not idempotent and the request has no Idempotency-Key.',
  hint: 'Send a key that is unique to this piece of work.',
} as const satisfies ErrorData;

/** The `Idempotency-Key` is malformed. */
export const KEY_INVALID = {
  name: 'key_invalid',
  title: 'Idempotency key invalid',
  message: 'The Idempotency-Key has a wrong form.',
  hint: 'Use printable ASCII characters within the documented length.',
} as const satisfies ErrorData;

/** The `Idempotency-Key` was used before with another request. */
export const KEY_REUSED = {
  name: 'key_reused',
  title: 'Idempotency key reused',
  message: 'The Idempotency-Key was used before with another request.',
  hint: 'Use a new key for new work, and the same body for a repeat.',
} as const satisfies ErrorData;

/** The request cannot finish within its deadline, so it was not started. */
export const DEADLINE_UNREACHABLE = {
  name: 'deadline_unreachable',
  title: 'Deadline unreachable',
  message:
    'The request cannot finish within its deadline, so it was not started.',
  hint: 'Come back after Retry-After or allow more time.',
} as const satisfies ErrorData;

/** The deadline passed before the request finished. */
export const DEADLINE_EXCEEDED = {
  name: 'deadline_exceeded',
  title: 'Deadline exceeded',
  message: 'The deadline passed before the request finished.',
  hint: 'Allow more time; for a booking repeat it with the same key.',
} as const satisfies ErrorData;

/** Too many requests are waiting. */
export const OVERLOADED = {
  name: 'overloaded',
  title: 'Overloaded',
  message: 'Too many requests are waiting.',
  hint: 'Come back after Retry-After.',
} as const satisfies ErrorData;

/** The client account has reached its limit of concurrent requests. */
export const ACCOUNT_LIMIT = {
  name: 'account_limit',
  title: 'Account limit reached',
  message: 'The client account has as many requests at once as it may.',
  hint: 'Wait for one of them to finish or raise maxConcurrent.',
} as const satisfies ErrorData;

/** No target of the service accepts the request at the moment. */
export const NO_TARGET = {
  name: 'no_target',
  title: 'No target',
  message: 'No target of the service can take the request now.',
  hint: 'Come back after Retry-After; check the targets with status.',
} as const satisfies ErrorData;

/** The targets of the service name limits that are used up for now. */
export const TARGET_LIMIT = {
  name: 'target_limit',
  title: 'Target limit reached',
  message: 'The targets of the service take no more requests for now.',
  hint: 'Come back after Retry-After.',
} as const satisfies ErrorData;

/** This process is shutting down and accepts no new requests. */
export const LEAVING = {
  name: 'leaving',
  title: 'Leaving',
  message: 'This process is shutting down and takes no new work.',
  hint: 'Send the request again; the balancer picks another entry.',
} as const satisfies ErrorData;

/** This process has no accepted configuration yet. */
export const NOT_READY = {
  name: 'not_ready',
  title: 'Not ready',
  message: 'This process has no accepted configuration yet.',
  hint: 'Come back after Retry-After.',
} as const satisfies ErrorData;

/** The object store cannot be reached, so no new booking can be claimed. */
export const STORE_UNAVAILABLE = {
  name: 'store_unavailable',
  title: 'Store unavailable',
  message:
    'The object store cannot be reached, so no new booking can be claimed.',
  hint: 'Come back after Retry-After.',
} as const satisfies ErrorData;

/** The claim of the booking was voided before the call was sent. */
export const CLAIM_VOIDED = {
  name: 'claim_voided',
  title: 'Claim voided',
  message: 'The claim on this booking was voided before anything was sent.',
  hint: 'Repeat the booking under a new key; it did not run.',
} as const satisfies ErrorData;

/** It is not known yet whether the claim of the booking was written. */
export const CLAIM_UNCERTAIN = {
  name: 'claim_uncertain',
  title: 'Claim uncertain',
  message: 'Whether the claim on this booking was written is not known yet.',
  hint: 'Repeat the booking with the same key.',
} as const satisfies ErrorData;

/** The call of the booking was sent, and its outcome cannot be determined. */
export const OUTCOME_UNKNOWN = {
  name: 'outcome_unknown',
  title: 'Outcome unknown',
  message: 'The booking was sent and its outcome cannot be learned.',
  hint: 'Check at the target before doing the work again.',
} as const satisfies ErrorData;

/** The target failed while it ran the request. */
export const TARGET_FAILED = {
  name: 'target_failed',
  title: 'Target failed',
  message: 'The target failed while it ran the request.',
  hint: 'See `ran`; repeat the request if it did not run.',
} as const satisfies ErrorData;

/** The target ran the request, but its response is too large to forward. */
export const RESPONSE_TOO_LARGE = {
  name: 'response_too_large',
  title: 'Response too large',
  message:
    'The target ran the request and answered with more than can be passed on.',
  hint: 'Ask the service for less at a time; do not repeat the request as it is.',
} as const satisfies ErrorData;

/** The retry budget of the service is used up. */
export const RETRY_BUDGET_SPENT = {
  name: 'retry_budget_spent',
  title: 'Retry budget spent',
  message: 'The service has used up its retries for the moment.',
  hint: 'Come back after Retry-After.',
} as const satisfies ErrorData;

/**
 * The request is quarantined, because targets that ran it crashed; retries are
 * refused too.
 */
export const POISON = {
  name: 'poison',
  title: 'Request quarantined',
  message: 'Targets that ran this request crashed, so it is refused for good.',
  hint: 'Change the request; do not repeat it as it is.',
} as const satisfies ErrorData;

/** The caller disconnected while its request was queued. */
export const CALLER_GONE = {
  name: 'caller_gone',
  title: 'Caller gone',
  message: 'The caller went away while its request waited in the queue.',
  hint: 'Wait for the answer, or send the request again.',
} as const satisfies ErrorData;

/** The process failed while it handled the request, and nothing else did. */
export const INTERNAL = {
  name: 'internal',
  title: 'Internal failure',
  message: 'The process failed at this request; whether it ran is not known.',
  hint: 'Check at the target before doing the work again; report the log line.',
} as const satisfies ErrorData;

/** The output so far was lost, so the stream cannot be resumed. */
export const ANSWER_LOST = {
  name: 'answer_lost',
  title: 'Answer lost',
  message: 'The answer so far is gone and cannot be continued.',
  hint: 'Discard what was received and send the request anew.',
} as const satisfies ErrorData;

/** A settings file cannot be read. */
export const SETTINGS_UNREADABLE = {
  name: 'settings_unreadable',
  title: 'Settings unreadable',
  message: 'A settings file cannot be read.',
  hint: 'Check the path and the permissions.',
} as const satisfies ErrorData;

/** The settings have problems. */
export const SETTINGS_INVALID = {
  name: 'settings_invalid',
  title: 'Settings invalid',
  message: 'The settings have problems.',
  hint: 'Mend each problem at the file and line it names.',
} as const satisfies ErrorData;

/** The configuration directory cannot be read. */
export const CONFIG_UNREADABLE = {
  name: 'config_unreadable',
  title: 'Configuration unreadable',
  message: 'The configuration directory cannot be read.',
  hint: 'Give a directory with base.yaml and overlays/<site>.yaml.',
} as const satisfies ErrorData;

/** The configuration has problems. */
export const CONFIG_INVALID = {
  name: 'config_invalid',
  title: 'Configuration invalid',
  message: 'The configuration has problems.',
  hint: 'Mend each problem at the file and line it names.',
} as const satisfies ErrorData;

/** The accepted configuration has no overlay for this site. */
export const CONFIG_UNKNOWN_SITE = {
  name: 'config_unknown_site',
  title: 'Unknown site',
  message: 'The accepted configuration has no overlay for this site.',
  hint: 'Add overlays/<site>.yaml or correct `site` in the settings.',
} as const satisfies ErrorData;

/** Another operator changed the accepted configuration in the meantime. */
export const CONFIG_CONFLICT = {
  name: 'config_conflict',
  title: 'Configuration conflict',
  message: 'Another operator changed the accepted configuration.',
  hint: 'Read the difference, take it in, and apply again.',
} as const satisfies ErrorData;

/** The response to the write was lost: it may have taken effect. */
export const CONFIG_WRITE_UNKNOWN = {
  name: 'config_write_unknown',
  title: 'Write outcome unknown',
  message: 'The store did not say whether the configuration was accepted.',
  hint: 'Apply again when the store answers; a repeat does no harm.',
} as const satisfies ErrorData;

/** The object store cannot be reached; nothing was written. */
export const STORE_UNREACHABLE = {
  name: 'store_unreachable',
  title: 'Store unreachable',
  message: 'The object store did not answer; nothing was written.',
  hint: 'Try again when the store answers.',
} as const satisfies ErrorData;

/** No entry returned a complete response before the deadline. */
export const ENTRY_UNREACHABLE = {
  name: 'entry_unreachable',
  title: 'Entry unreachable',
  message: 'No entry gave a whole answer before the deadline.',
  hint: 'Check the entry addresses or allow more time.',
} as const satisfies ErrorData;

/** The response of the entry is malformed. */
export const ENTRY_MALFORMED = {
  name: 'entry_malformed',
  title: 'Malformed answer',
  message: 'The entry answered with something that cannot be understood.',
  hint: 'Check that the address is that of an entry.',
} as const satisfies ErrorData;

/** A process does not respond at its address for operators. */
export const PROCESS_UNREACHABLE = {
  name: 'process_unreachable',
  title: 'Process unreachable',
  message: 'A process did not answer at its operators address.',
  hint: 'Check the address and whether the process runs.',
} as const satisfies ErrorData;

/** The entry could not read the question for a route. */
export const ROUTE_QUERY_INVALID = {
  name: 'route_query_invalid',
  title: 'Question not understood',
  message: 'The entry could not read the question for a route.',
  hint: 'Correct the option that the detail names.',
} as const satisfies ErrorData;

/** The process was still running after the time allowed for draining. */
export const DRAIN_UNFINISHED = {
  name: 'drain_unfinished',
  title: 'Drain unfinished',
  message: 'The process was still there when the time was up.',
  hint: 'Look at its status and wait longer.',
} as const satisfies ErrorData;

/** Catalogue entry and HTTP status of a refusal. */
export interface RefusalData {
  readonly data: ErrorData;
  /** HTTP status. */
  readonly status: number;
}

/** Catalogue entry and HTTP status for each refusal reason. */
export const REFUSALS: Readonly<Record<RefusalReason, RefusalData>> = {
  [RefusalReason.BAD_REQUEST]: {data: BAD_REQUEST, status: 400},
  [RefusalReason.HEADERS_TOO_LARGE]: {data: HEADERS_TOO_LARGE, status: 431},
  [RefusalReason.HEADERS_TOO_SLOW]: {data: HEADERS_TOO_SLOW, status: 408},
  [RefusalReason.BODY_TOO_LARGE]: {data: BODY_TOO_LARGE, status: 413},
  [RefusalReason.BODY_TOO_SLOW]: {data: BODY_TOO_SLOW, status: 408},
  [RefusalReason.UNAUTHENTICATED]: {data: UNAUTHENTICATED, status: 401},
  [RefusalReason.UNKNOWN_SERVICE]: {data: UNKNOWN_SERVICE, status: 404},
  [RefusalReason.BAD_EVENT_ID]: {data: BAD_EVENT_ID, status: 400},
  [RefusalReason.KEY_MISSING]: {data: KEY_MISSING, status: 400},
  [RefusalReason.KEY_INVALID]: {data: KEY_INVALID, status: 400},
  [RefusalReason.KEY_REUSED]: {data: KEY_REUSED, status: 422},
  [RefusalReason.DEADLINE_UNREACHABLE]: {
    data: DEADLINE_UNREACHABLE,
    status: 503,
  },
  [RefusalReason.DEADLINE_EXCEEDED]: {data: DEADLINE_EXCEEDED, status: 504},
  [RefusalReason.OVERLOADED]: {data: OVERLOADED, status: 503},
  [RefusalReason.ACCOUNT_LIMIT]: {data: ACCOUNT_LIMIT, status: 429},
  [RefusalReason.NO_TARGET]: {data: NO_TARGET, status: 503},
  [RefusalReason.TARGET_LIMIT]: {data: TARGET_LIMIT, status: 503},
  [RefusalReason.LEAVING]: {data: LEAVING, status: 503},
  [RefusalReason.NOT_READY]: {data: NOT_READY, status: 503},
  [RefusalReason.STORE_UNAVAILABLE]: {data: STORE_UNAVAILABLE, status: 503},
  [RefusalReason.CLAIM_VOIDED]: {data: CLAIM_VOIDED, status: 409},
  [RefusalReason.CLAIM_UNCERTAIN]: {data: CLAIM_UNCERTAIN, status: 409},
  [RefusalReason.OUTCOME_UNKNOWN]: {data: OUTCOME_UNKNOWN, status: 502},
  [RefusalReason.TARGET_FAILED]: {data: TARGET_FAILED, status: 502},
  [RefusalReason.RESPONSE_TOO_LARGE]: {data: RESPONSE_TOO_LARGE, status: 502},
  [RefusalReason.RETRY_BUDGET_SPENT]: {data: RETRY_BUDGET_SPENT, status: 503},
  [RefusalReason.POISON]: {data: POISON, status: 422},
  [RefusalReason.ANSWER_LOST]: {data: ANSWER_LOST, status: 410},
  [RefusalReason.CALLER_GONE]: {data: CALLER_GONE, status: 408},
  [RefusalReason.INTERNAL]: {data: INTERNAL, status: 500},
};

import type {Maybe} from 'purify-ts';
import {Codec, Maybe as MaybeOf, enumeration, number, string} from 'purify-ts';

import {Executed} from '../../core/errors/index.js';
import type {ProblemDocument} from './types.js';

/** Media type of problem documents (RFC 9457). */
const PROBLEM_TYPE = 'application/problem+json';

const MS_PER_SECOND = 1_000;

const PROBLEM: Codec<ProblemDocument> = Codec.interface({
  status: number,
  title: string,
  detail: string,
  reason: string,
  ran: enumeration(Executed),
});

/** Header fields in the form used by the HTTP client. */
export type HeaderMap = Readonly<Record<string, string | string[] | undefined>>;

/**
 * Parses a problem document; returns Nothing if the text is not one.
 *
 * @example
 * parseProblem(body).map(formatRefusal);
 */
export function parseProblem(text: string): Maybe<ProblemDocument> {
  return MaybeOf.encase((): unknown => JSON.parse(text)).chain((value) =>
    PROBLEM.decode(value).toMaybe(),
  );
}

/**
 * Whether the content type of a response is that of a problem document.
 *
 * @example
 * hasProblemContentType({'content-type': 'application/problem+json'}); // true
 */
export function hasProblemContentType(headers: HeaderMap): boolean {
  return String(headers['content-type'] ?? '').startsWith(PROBLEM_TYPE);
}

/**
 * Converts `Retry-After` from seconds to milliseconds; undefined if the header
 * is absent or is not a number of seconds.
 *
 * @example
 * parseRetryAfter({'retry-after': '2'}); // 2000
 */
export function parseRetryAfter(headers: HeaderMap): number | undefined {
  const text = headers['retry-after'];
  return typeof text === 'string' && /^\d+$/.test(text)
    ? Number(text) * MS_PER_SECOND
    : undefined;
}

/**
 * Formats a refusal as one line.
 *
 * @example
 * formatRefusal(problem); // refused: 503 overloaded (ran: no): queue is full
 */
export function formatRefusal(problem: ProblemDocument): string {
  const {status, reason, ran, detail} = problem;
  return `refused: ${status} ${reason} (ran: ${ran}): ${detail}`;
}

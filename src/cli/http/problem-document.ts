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

/** Header fields as the HTTP client gives them. */
export type HeaderMap = Readonly<Record<string, string | string[] | undefined>>;

/** Reads a problem document; Nothing where the text is none. */
export function parseProblem(text: string): Maybe<ProblemDocument> {
  return MaybeOf.encase((): unknown => JSON.parse(text)).chain((value) =>
    PROBLEM.decode(value).toMaybe(),
  );
}

/** Says whether an answer claims to be a problem document. */
export function hasProblemContentType(headers: HeaderMap): boolean {
  return String(headers['content-type'] ?? '').startsWith(PROBLEM_TYPE);
}

/** Returns the seconds of `Retry-After` in milliseconds. */
export function parseRetryAfter(headers: HeaderMap): number | undefined {
  const text = headers['retry-after'];
  return typeof text === 'string' && /^\d+$/.test(text)
    ? Number(text) * MS_PER_SECOND
    : undefined;
}

/**
 * Writes a refusal on one line.
 *
 * @example
 * formatRefusal(problem); // refused: 503 overloaded (ran: no): queue is full
 */
export function formatRefusal(problem: ProblemDocument): string {
  const {status, reason, ran, detail} = problem;
  return `refused: ${status} ${reason} (ran: ${ran}): ${detail}`;
}

/** Decodes the plan that an entry answers with. */
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {GetType} from 'purify-ts';
import {
  array,
  boolean,
  Codec,
  Maybe,
  number,
  optional,
  string,
} from 'purify-ts';

const CANDIDATE = Codec.interface({
  id: string,
  state: string,
  isChosen: boolean,
  dataCentre: string,
  version: optional(string),
  requests: number,
  slots: number,
  slowness: number,
  reportAgeMs: optional(number),
  failureShare: number,
  limitPerSecond: optional(number),
  plannedTokens: optional(number),
  promptAdvantage: optional(number),
});

const PLAN = Codec.interface({
  config: number,
  route: optional(string),
  operation: optional(string),
  shares: array(Codec.interface({service: string, weight: number})),
  service: optional(string),
  clientAccount: optional(string),
  priority: optional(number),
  limitMs: optional(number),
  decision: Codec.interface({
    outcome: string,
    before: number,
    detail: optional(string),
    reason: optional(string),
    status: optional(number),
    retryAfterMs: optional(number),
  }),
  candidates: array(CANDIDATE),
});

/** A target, as an entry describes it. */
export type PlanCandidate = GetType<typeof CANDIDATE>;

/** A plan, as an entry answers with it. */
export type Plan = GetType<typeof PLAN>;

/**
 * Parses a plan; the error is one line of text.
 *
 * @example
 * parsePlan(response.body);
 */
export function parsePlan(body: string): Result<Plan, string> {
  const plan = Maybe.encase((): unknown => JSON.parse(body))
    .chain((value) => PLAN.decode(value).toMaybe())
    .extract();
  return plan === undefined ? err('the plan has an unknown shape') : ok(plan);
}

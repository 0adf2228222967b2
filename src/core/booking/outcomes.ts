/** Outcomes that agents record in the platform, grouped into objects. */
import type {GetType} from 'purify-ts';
import {array, Codec, number, string} from 'purify-ts';

import type {ObjectStore, PlainResponse} from '../edges/index.js';
import {ObjectKind} from '../edges/index.js';
import {HEADER_FIELD} from '../protocol/index.js';
import {OUTCOME_BUCKET_MS} from './consts.js';

/** Codec of the outcome of one booking. */
export const RECORDED_OUTCOME = Codec.interface({
  /** Name of the claim. */
  name: string,
  /** Fingerprint of the request. */
  fingerprint: string,
  /** HTTP status of the response. */
  status: number,
  headers: array(HEADER_FIELD),
  /** Body of the response, in Base64. */
  body: string,
});

/** Codec of a group of outcomes; it is written once and never changed. */
export const OUTCOME_GROUP = Codec.interface({
  outcomes: array(RECORDED_OUTCOME),
});

/** The outcome of one booking. */
export type RecordedOutcome = GetType<typeof RECORDED_OUTCOME>;

/**
 * Returns the name prefix of all groups that can hold the outcome of a claim.
 * Groups are named after the agent incarnation and the time of the claim.
 *
 * @example
 * outcomePrefixOf({incarnation: 'a1', claimedAtMs: 120_000}); // 'a1.2.'
 */
export function outcomePrefixOf(options: {
  incarnation: string;
  claimedAtMs: number;
}): string {
  const bucket = Math.floor(options.claimedAtMs / OUTCOME_BUCKET_MS);
  return `${options.incarnation}.${bucket}.`;
}

/** Reads recorded outcomes. */
export interface OutcomeReader {
  /** Finds an outcome by the name of the claim; undefined if none is found. */
  find(options: {
    name: string;
    incarnation: string;
    claimedAtMs: number;
  }): Promise<PlainResponse | undefined>;
}

/**
 * Reads outcomes from the platform. A store that does not respond counts as a
 * store without the outcome.
 *
 * @example
 * const outcomes = new StoredOutcomes({store});
 */
export class StoredOutcomes implements OutcomeReader {
  constructor(private readonly options: {store: ObjectStore}) {}

  async find(options: {
    name: string;
    incarnation: string;
    claimedAtMs: number;
  }): Promise<PlainResponse | undefined> {
    const kind = ObjectKind.OUTCOME;
    const prefix = outcomePrefixOf(options);
    const listed = await this.options.store.list({kind, prefix});
    if (listed.isErr()) return undefined;
    for (const {value} of listed.value) {
      const group = OUTCOME_GROUP.decode(value).toMaybe().extract();
      const found = group?.outcomes.find(({name}) => name === options.name);
      if (found !== undefined) return toResponse(found);
    }
    return undefined;
  }
}

function toResponse(outcome: RecordedOutcome): PlainResponse {
  const {status, headers, body} = outcome;
  return {status, headers, body: Buffer.from(body, 'base64')};
}

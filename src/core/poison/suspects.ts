/** What may crash the targets of a request: itself, or a part of its prompt. */
import type {PromptPart} from '../edges/direct-caller.js';
import {fingerprintOf} from '../generation/fingerprint.js';

/** Distinguishes the keys of prompt parts from fingerprints of requests. */
const PART_PREFIX = 'part-';

/** Ids that can be part of the name of a stored object. */
const PLAIN_ID = /^[0-9a-z]{1,64}$/i;

/** Most parts of a prompt that are suspects; shared parts come first. */
const MAX_PARTS = 16;

/** A prompt part of a request that may crash targets. */
export interface PartSuspect {
  /** Identifies the part over all requests and client accounts. */
  readonly key: string;
  /** Index of the part in the prompt of the request. */
  readonly position: number;
}

/** All suspects of one request. */
export interface Suspects {
  /** Fingerprint of the request. */
  readonly request: string;
  /**
   * The parts of its prompt except the last, which belongs to this request
   * alone; in reverse order.
   */
  readonly promptParts: readonly PartSuspect[];
}

/**
 * Returns the suspects among the parts of a prompt.
 *
 * @example
 * toPartSuspects([{id: '5c1e', tokens: 800}, {id: '91bd', tokens: 40}]);
 */
export function toPartSuspects(
  promptParts: readonly PromptPart[],
): PartSuspect[] {
  const shared = promptParts.slice(0, -1).slice(0, MAX_PARTS);
  return shared
    .map(({id}, position) => ({key: partKeyOf(id), position}))
    .reverse();
}

/**
 * Returns whether a suspect is a prompt part.
 *
 * @example
 * isPromptPart(suspects.request); // false
 */
export function isPromptPart(suspect: string): boolean {
  return suspect.startsWith(PART_PREFIX);
}

/** Parts are identified by content, so accounts do not matter. */
function partKeyOf(id: string): string {
  const name = PLAIN_ID.test(id)
    ? id
    : fingerprintOf({clientAccount: '', parts: [id]});
  return PART_PREFIX + name;
}

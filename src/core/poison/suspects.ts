/** What may crash the targets of a request: itself, or a part of its prompt. */
import type {PromptPart} from '../edges/direct-caller.js';
import {fingerprintOf} from '../generation/fingerprint.js';

/** Distinguishes the keys of prompt parts from fingerprints of requests. */
const PART_PREFIX = 'part-';

/** Ids that can be part of the name of a stored object. */
const PLAIN_ID = /^[0-9a-z]{1,64}$/i;

/** Most parts of a prompt whose losses are recorded one by one. */
export const MAX_NAMED_PARTS = 16;

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
 * Returns the suspects among the parts of a prompt, however many there are.
 *
 * @example
 * toPartSuspects([{id: '5c1e', tokens: 800}, {id: '91bd', tokens: 40}]);
 */
export function toPartSuspects(
  promptParts: readonly PromptPart[],
): PartSuspect[] {
  return promptParts
    .slice(0, -1)
    .map(({id}, position) => ({key: PART_PREFIX + namePart(id), position}))
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

/**
 * Returns what distinguishes the key of a prompt part from those of others.
 *
 * @example
 * toPartName(keyOfPart); // '5c1e'
 */
export function toPartName(key: string): string {
  return key.slice(PART_PREFIX.length);
}

/**
 * Names a part by its id. Parts are identified by content, so accounts do not
 * matter.
 *
 * @example
 * namePart('5c1e'); // '5c1e'
 */
export function namePart(id: string): string {
  if (PLAIN_ID.test(id)) return id;
  return fingerprintOf({clientAccount: '', parts: [id]});
}

/** Prefers the engines that may have a prompt in their KV cache. */
import {createHash} from 'node:crypto';

import type {PromptPart} from '../edges/direct-caller.js';
import type {Target, TargetRecord} from '../targets/index.js';
import {incarnationOf} from '../targets/index.js';

/**
 * Advantages of the preferred engines for a new generation, best first, in
 * running requests. An engine in prefill costs more, so it is still avoided.
 */
const NEW_ADVANTAGES: readonly number[] = [4, 2];

/**
 * The same for a generation that ran before, at any entry. Its prompt is likely
 * cached at the first, where it does not wait for a prefill of its own.
 */
const RETURNING_ADVANTAGES: readonly number[] = [10, 3];

const hashes = new WeakMap<TargetRecord, number>();

/** Input of `promptAffinity`. */
export interface PromptAffinityQuery {
  readonly promptParts: readonly PromptPart[];
  /** Whether the generation has run before. */
  readonly isReturning: boolean;
  /** Engines that may be given work. */
  readonly targets: readonly Target[];
}

/**
 * Returns the advantage of engines for a prompt, in running requests. All
 * entries prefer the same engines for a prompt (rendezvous hashing). A caller
 * that returns through another entry thus finds its prompt in the KV cache of
 * the engine that ran it, although the entries share nothing.
 *
 * Answers the load after many entries were lost at once, when the callers of
 * all their generations return within a second.
 *
 * @example
 * const affinity = promptAffinity({promptParts, isReturning, targets});
 * chooseEngine({...query, affinity});
 */
export function promptAffinity(
  query: PromptAffinityQuery,
): ReadonlyMap<Target, number> {
  const {promptParts, isReturning, targets} = query;
  const prompt = promptParts.at(-1)?.id;
  if (prompt === undefined) return new Map();
  const promptHash = hashOf(prompt);
  const advantages = isReturning ? RETURNING_ADVANTAGES : NEW_ADVANTAGES;
  const ranked = targets
    .map((target) => ({
      target,
      score: mix(promptHash, hashOfRecord(target.record)),
    }))
    .sort((a, b) => a.score - b.score)
    .slice(0, advantages.length);
  return new Map(ranked.map(({target}, rank) => [target, advantages[rank]!]));
}

/** Hash of an incarnation, as a restarted engine has lost its cache. */
function hashOfRecord(record: TargetRecord): number {
  const known = hashes.get(record);
  if (known !== undefined) return known;
  const hash = hashOf(incarnationOf(record));
  hashes.set(record, hash);
  return hash;
}

function hashOf(text: string): number {
  return createHash('sha256').update(text).digest().readUInt32BE(0);
}

/** Combines two hashes (the finalizer of MurmurHash3). */
function mix(a: number, b: number): number {
  let hash = a ^ b;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

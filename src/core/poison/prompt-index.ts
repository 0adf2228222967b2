/** The parts of one prompt that may crash targets, found by their keys. */
import type {PromptPart} from '../edges/direct-caller.js';
import {FINGERPRINT_CHARS} from '../generation/fingerprint.js';
import type {PartSuspect} from './suspects.js';
import {
  isPromptPart,
  MAX_NAMED_PARTS,
  namePart,
  toPartName,
  toPartSuspects,
} from './suspects.js';

/**
 * All parts of a prompt but the last, which belongs to its request alone. Their
 * keys are made when they are first needed, as few requests need them.
 *
 * @example
 * const index = new PromptIndex([{id: '5c1e', tokens: 800}, ...others]);
 * index.has('part-5c1e'); // true
 */
export class PromptIndex {
  private inReverse?: readonly PartSuspect[];

  constructor(private readonly parts: readonly PromptPart[]) {}

  /** Number of parts that may be suspects. */
  get size(): number {
    return Math.max(0, this.parts.length - 1);
  }

  /** Whether there are more than are recorded one by one. */
  get isLong(): boolean {
    return this.size > MAX_NAMED_PARTS;
  }

  /** The parts in reverse order. */
  get suspects(): readonly PartSuspect[] {
    return (this.inReverse ??= toPartSuspects(this.parts));
  }

  has(key: string): boolean {
    return isPromptPart(key) && this.intersect([key]).length > 0;
  }

  /** Those of some parts that the prompt has, in reverse order. */
  intersect(keys: Iterable<string>): PartSuspect[] {
    const byName = new Map<string, string>();
    for (const key of keys) byName.set(toPartName(key), key);
    const found: PartSuspect[] = [];
    if (byName.size === 0) return found;
    // Most names are the ids themselves, and to tell the others costs more.
    const hasFingerprint = [...byName.keys()].some(mayBeFingerprint);
    for (let position = this.size - 1; position >= 0; position--) {
      const {id} = this.parts[position]!;
      const key = byName.get(hasFingerprint ? namePart(id) : id);
      if (key !== undefined) found.push({key, position});
    }
    return found;
  }
}

function mayBeFingerprint({length}: string): boolean {
  return length === FINGERPRINT_CHARS;
}

/** Chooses which parts of long prompts are recorded as suspects. */
import type {
  LossLedger,
  PartSuspect,
  Suspects,
} from '../../core/poison/index.js';
import {MAX_NAMED_PARTS, MAX_PROMPTS} from '../../core/poison/index.js';

/** Most parts that are kept of all of them; the latest prompt always is. */
const MAX_PARTS = 16_384;

/** A lost request with a long prompt. */
class LostPrompt implements Suspects {
  /** The parts that are recorded one by one now. */
  promptParts: readonly PartSuspect[] = [];

  constructor(
    readonly request: string,
    /** All parts that may have crashed its targets. */
    public all: readonly PartSuspect[],
  ) {}
}

/**
 * Bounds what a lost target costs if the prompt of its request has many parts.
 * Only those with the most losses over all entries are recorded one by one, and
 * all are in one digest of bounded size, by which other entries count the loss.
 * The choice changes as more losses become known, and as parts turn out to be
 * harmless.
 *
 * @example
 * const suspects = lostPrompts.suspectsOf(loss.suspects);
 * lostPrompts.chooseAgain();
 */
export class LostPrompts {
  private readonly prompts = new Map<string, LostPrompt>();

  constructor(
    private readonly options: {
      ledger: LossLedger;
      /** Whether this entry knows a part to be harmless. */
      hasServed: (key: string) => boolean;
      /** Called when the losses of a request were recorded against a part. */
      onNamed: (request: string, key: string) => void;
    },
  ) {}

  /** The suspects of a lost request whose losses are recorded one by one. */
  suspectsOf(suspects: Suspects): Suspects {
    const {request, promptParts: all} = suspects;
    if (all.length <= MAX_NAMED_PARTS) return suspects;
    const prompt = this.prompts.get(request) ?? new LostPrompt(request, all);
    prompt.all = all;
    this.prompts.delete(request);
    this.prompts.set(request, prompt);
    this.dropOldest();
    this.choose(prompt);
    return prompt;
  }

  /** Records the parts of a lost request for the other entries. */
  record(suspects: Suspects): void {
    if (suspects instanceof LostPrompt)
      this.options.ledger.recordPrompt(suspects.request, suspects.all);
  }

  /** Chooses again, after losses of other entries were read. */
  chooseAgain(): void {
    const {ledger} = this.options;
    for (const prompt of [...this.prompts.values()]) {
      if (ledger.hasOwnLosses(prompt.request)) this.choose(prompt);
      else this.prompts.delete(prompt.request);
    }
  }

  private dropOldest(): void {
    const prompts = [...this.prompts.values()];
    let parts = prompts.reduce((sum, {all}) => sum + all.length, 0);
    let count = prompts.length;
    for (const {request, all} of prompts) {
      const fits = count <= MAX_PROMPTS && parts <= MAX_PARTS;
      if (fits || count === 1) return;
      this.prompts.delete(request);
      parts -= all.length;
      count--;
    }
  }

  private choose(prompt: LostPrompt): void {
    const {ledger, onNamed} = this.options;
    const {request, promptParts: former} = prompt;
    const chosen = this.mostLikely(prompt);
    const chosenKeys = new Set(chosen.map(({key}) => key));
    const formerKeys = new Set(former.map(({key}) => key));
    prompt.promptParts = chosen;
    for (const key of formerKeys)
      if (!chosenKeys.has(key)) ledger.unnamePart(request, key);
    for (const part of chosen) {
      if (formerKeys.has(part.key)) continue;
      ledger.namePart(request, part);
      onNamed(request, part.key);
    }
  }

  /** The parts with the most losses; of those with as many, the later ones. */
  private mostLikely({all}: LostPrompt): PartSuspect[] {
    const {ledger, hasServed} = this.options;
    return all
      .filter(({key}) => !hasServed(key))
      .map((part) => ({part, losses: ledger.incarnationsOf(part.key).size}))
      .sort((a, b) => b.losses - a.losses || b.part.position - a.part.position)
      .slice(0, MAX_NAMED_PARTS)
      .map(({part}) => part);
  }
}

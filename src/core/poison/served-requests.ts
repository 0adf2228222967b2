/** Requests that this process has recently served completely. */
import type {Clock} from '../clock/index.js';
import {dropOldest} from './drop-oldest.js';
import type {PromptIndex} from './prompt-index.js';

/** Time for which a served request counts as harmless, in milliseconds. */
const SERVED_RETENTION_MS = 60_000;

/** Maximum requests and prompt parts; the oldest are dropped first. */
const MAX_SERVED = 4_096;

/** Most parts of long prompts that are remembered; the oldest are dropped. */
const MAX_PROMPT_PARTS = 8_192;

/** A long prompt to which a target could write a response. */
interface ServedPrompt {
  readonly index: PromptIndex;
  readonly atMs: number;
}

/**
 * Remembers the requests that one target served completely, and the prompt
 * parts that targets could write responses to, as they cannot be the cause of
 * other losses.
 *
 * @example
 * const served = new ServedRequests({clock});
 * served.add(fingerprint);
 * served.has(fingerprint);
 */
export class ServedRequests {
  /** When each request was last served, the latest last. */
  private readonly servedAtMs = new Map<string, number>();
  /** The same of the parts of long prompts, as far as they were asked for. */
  private readonly partServedAtMs = new Map<string, number>();
  /** Long prompts whose parts were not asked for yet, the latest last. */
  private readonly prompts: ServedPrompt[] = [];
  private promptParts = 0;

  constructor(private readonly options: {clock: Clock}) {}

  add(request: string): void {
    this.servedAtMs.delete(request);
    this.servedAtMs.set(request, this.options.clock.now());
    dropOldest({entries: this.servedAtMs, maxSize: MAX_SERVED});
  }

  /**
   * Adds all parts of a long prompt, at the cost of one. Their keys are made
   * when somebody asks for a part, which takes a lost target.
   */
  addPrompt(index: PromptIndex): void {
    this.prompts.push({index, atMs: this.options.clock.now()});
    this.promptParts += index.size;
    while (this.prompts.length > 1 && this.promptParts > MAX_PROMPT_PARTS)
      this.promptParts -= this.prompts.shift()!.index.size;
  }

  has(request: string): boolean {
    this.indexPrompts();
    const isFresh = (atMs = Number.NEGATIVE_INFINITY) =>
      this.options.clock.now() - atMs <= SERVED_RETENTION_MS;
    return (
      isFresh(this.servedAtMs.get(request)) ||
      isFresh(this.partServedAtMs.get(request))
    );
  }

  private indexPrompts(): void {
    for (const {index, atMs} of this.prompts.splice(0))
      for (const {key} of index.suspects) this.addPart(key, atMs);
    this.promptParts = 0;
  }

  private addPart(key: string, atMs: number): void {
    this.partServedAtMs.delete(key);
    this.partServedAtMs.set(key, atMs);
    dropOldest({entries: this.partServedAtMs, maxSize: MAX_PROMPT_PARTS});
  }
}

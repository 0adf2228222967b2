/** Which lost targets are attributed to quarantined suspects. */
import {dropOldest} from './drop-oldest.js';
import type {Loss} from './loss-table.js';
import {isPromptPart} from './suspects.js';

/** Maximum suspects; the oldest are dropped first. */
const MAX_SUSPECTS = 4_096;

/**
 * Remembers the target incarnations that quarantined suspects crashed. They no
 * longer count against others that were lost with them.
 *
 * @example
 * attributions.add(request, ['i-7@1000']);
 * attributions.explain(loss);
 */
export class Attributions {
  private readonly crashes = new Map<string, ReadonlySet<string>>();

  constructor(
    private readonly options: {
      /** Whether any entry lost a target while it ran a suspect. */
      wasLostWith: (suspect: string, incarnation: string) => boolean;
    },
  ) {}

  add(suspect: string, incarnations: readonly string[]): void {
    this.crashes.set(suspect, new Set(incarnations));
    dropOldest({entries: this.crashes, maxSize: MAX_SUSPECTS});
  }

  remove(suspect: string): void {
    this.crashes.delete(suspect);
  }

  /** Whether another suspect crashed the target of a loss. */
  explain({suspect, incarnation}: Pick<Loss, 'suspect' | 'incarnation'>) {
    return [...this.crashes].some(
      ([cause, incarnations]) =>
        cause !== suspect &&
        mayExplain(cause, suspect) &&
        (incarnations.has(incarnation) || this.crashed(cause, incarnation)),
    );
  }

  /** A part goes on crashing the targets of requests that run already. */
  private crashed(cause: string, incarnation: string): boolean {
    return isPromptPart(cause) && this.options.wasLostWith(cause, incarnation);
  }
}

/** The crashes of a poison request may be those of a part of its prompt. */
function mayExplain(cause: string, suspect: string): boolean {
  return isPromptPart(cause) || !isPromptPart(suspect);
}

/** Decides which prompt part losses are blamed on. */
import {MIN_PART_REQUESTS} from './consts.js';
import type {Loss} from './loss-table.js';

/** The losses of one prompt part that count against it. */
export class PartLosses {
  private readonly lost = new Set<string>();
  private readonly requests = new Set<string>();
  private lastPosition = 0;

  constructor(losses: Iterable<Loss>) {
    for (const {incarnation, part} of losses) {
      this.lost.add(incarnation);
      if (part === undefined) continue;
      this.requests.add(part.by);
      this.lastPosition = Math.max(this.lastPosition, part.position);
    }
  }

  /** Whether several requests lost at least `minLost` targets. */
  areEnough(minLost: number): boolean {
    const hasRequests = this.requests.size >= MIN_PART_REQUESTS;
    return hasRequests && this.lost.size >= minLost;
  }

  /**
   * Whether this part explains all losses of another one, and either explains
   * more or comes later in the prompt, where fewer requests share it. It is then
   * blamed first.
   *
   * @example
   * if (losses.explain(earlierLosses)) blame(part);
   */
  explain(other: PartLosses): boolean {
    const explainsAll = [...other.lost].every((incarnation) =>
      this.lost.has(incarnation),
    );
    const explainsMore = this.lost.size > other.lost.size;
    const isLater = this.lastPosition > other.lastPosition;
    return explainsAll && (explainsMore || isLater);
  }
}

/** What the promises of the product are checked against. */
import type {Arrival, Attempt, History} from '../history.js';

/** A promise that was broken, and how. */
export interface Violation {
  readonly promise: string;
  /** Id of the request, or name of the part, that shows it. */
  readonly id: string;
  readonly detail: string;
}

/** A promise of the product, judged after a run. */
export interface GuaranteeCheck {
  readonly guarantee: string;
  readonly find: (history: History) => Array<Omit<Violation, 'promise'>>;
}

/** Part of the site: an entry. */
export function entryComponent(name: string): string {
  return `entry:${name}`;
}

/** Part of the site: a target. */
export function targetComponent(id: string): string {
  return `target:${id}`;
}

/** Whether a request got its full answer from a target. */
export function isServed(attempt: Attempt): boolean {
  return attempt.status === 200 && attempt.isWhole;
}

/** All parts that a request touched, but for the store. */
export function componentsOf(
  attempt: Attempt,
  arrivals: readonly Arrival[],
): string[] {
  const targets = arrivals.map(({target}) => targetComponent(target));
  return [entryComponent(attempt.entry), ...targets];
}

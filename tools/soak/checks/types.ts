/** Types and helpers of the guarantee checks. */
import type {Arrival, Attempt, History} from '../history.js';

/** A violated guarantee. */
export interface Violation {
  readonly promise: string;
  /** Id of the request, or name of the component, that shows it. */
  readonly id: string;
  readonly detail: string;
}

/** A guarantee of the product, checked after a run. */
export interface GuaranteeCheck {
  readonly guarantee: string;
  readonly find: (history: History) => Array<Omit<Violation, 'promise'>>;
}

/** Component name of an entry. */
export function entryComponent(name: string): string {
  return `entry:${name}`;
}

/** Component name of a target. */
export function targetComponent(id: string): string {
  return `target:${id}`;
}

/** Whether a request received a complete response with status 200. */
export function isServed(attempt: Attempt): boolean {
  return attempt.status === 200 && attempt.isWhole;
}

/** The entry and the targets that a request reached. */
export function componentsOf(
  attempt: Attempt,
  arrivals: readonly Arrival[],
): string[] {
  const targets = arrivals.map(({target}) => targetComponent(target));
  return [entryComponent(attempt.entry), ...targets];
}

/** Types and helpers of the guarantee checks. */
import type {Arrival, Attempt, History} from '../history.js';

/** A violated guarantee. */
export interface Violation {
  /** Text of the guarantee. */
  readonly promise: string;
  /** Id of the request, or name of the component, that shows it. */
  readonly id: string;
  readonly detail: string;
}

/** A guarantee of the product, checked after a run. */
export interface GuaranteeCheck {
  /** Text that names the guarantee in reports. */
  readonly guarantee: string;
  /** Finds the violations in the history of a run. */
  readonly find: (history: History) => Array<Omit<Violation, 'promise'>>;
}

/**
 * Returns the component name of an entry, as recorded with faults.
 *
 * @example
 * entryComponent('entry-1') === 'entry:entry-1';
 */
export function entryComponent(name: string): string {
  return `entry:${name}`;
}

/**
 * Returns the component name of an entry's settings file.
 *
 * @example
 * settingsComponent('entry-1') === 'settings:entry-1';
 */
export function settingsComponent(name: string): string {
  return `settings:${name}`;
}

/**
 * Returns the component name of a target, as recorded with faults.
 *
 * @example
 * targetComponent('i-1') === 'target:i-1';
 */
export function targetComponent(id: string): string {
  return `target:${id}`;
}

/** Whether a request received a complete response with status 200. */
export function isServed(attempt: Attempt): boolean {
  return attempt.status === 200 && attempt.isWhole;
}

/** Component names of the entry and the targets that a request reached. */
export function componentsOf(
  attempt: Attempt,
  arrivals: readonly Arrival[],
): string[] {
  const targets = arrivals.map(({target}) => targetComponent(target));
  return [entryComponent(attempt.entry), ...targets];
}

/** Computes the priority of a generation at an engine. */
import type {AccountKeys, Route} from '../routes/index.js';

/** Engines accept priorities 0 to 9, of which 0 is the highest. */
const LOWEST_PRIORITY = 9;

/** Input of `enginePriority`. */
export interface EnginePriorityQuery {
  readonly route: Pick<Route, 'priority'>;
  /** Account of the caller, whose priority overrides the route's. */
  readonly account?: Pick<AccountKeys, 'priority'>;
  /** Whether the caller has received part of the output already. */
  readonly isResumed: boolean;
}

/**
 * Returns the priority by which an engine orders generations. When its KV
 * cache is full, the engine preempts the newest generation of the lowest
 * priority. A generation that was resumed after a loss is the newest at its
 * engine although its caller has received part of the output, so its priority
 * is one higher than that of a new one. This matters when engines are full and
 * the generations of a lost data centre arrive.
 *
 * @example
 * enginePriority({route: {priority: 1}, isResumed: true}); // 0
 */
export function enginePriority(query: EnginePriorityQuery): number {
  const {route, account, isResumed} = query;
  const priority = account?.priority ?? route.priority;
  const unclamped = isResumed ? priority - 1 : priority;
  return Math.min(LOWEST_PRIORITY, Math.max(0, Math.round(unclamped)));
}

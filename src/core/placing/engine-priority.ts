/** How urgent a generation is to the engines that it shares. */
import type {AccountKeys, Route} from '../routes/index.js';

/** Engines know the classes 0 to 9, of which 0 goes first. */
const LAST_CLASS = 9;

/** What decides the urgency of a generation. */
export interface EnginePriorityQuery {
  readonly route: Pick<Route, 'priority'>;
  /** The account's own priority goes before the route's. */
  readonly account?: Pick<AccountKeys, 'priority'>;
  /** Whether the caller has read a part of it already. */
  readonly isResumed: boolean;
}

/**
 * The class by which engines order generations, and by which the newest of
 * the least urgent loses its place when memory runs out. One that goes on
 * after a loss is the newest at its engine though its caller has read half
 * of it, so it is a class more urgent than those that begin.
 *
 * Load: engines that are full while runs of a lost data centre arrive.
 *
 * @example
 * urgencyClass({route: {priority: 1}, isUnderWay: true}); // 0
 */
export function enginePriority(facts: EnginePriorityQuery): number {
  const {route, account, isResumed: isUnderWay} = facts;
  const priority = account?.priority ?? route.priority;
  const wanted = isUnderWay ? priority - 1 : priority;
  return Math.min(LAST_CLASS, Math.max(0, Math.round(wanted)));
}

/** Callbacks of a link whose failures stay with the work that they serve. */
import type {LinkHandler} from './link-handler.js';

/** Runs a callback and handles its failure. */
export type Guard = (work: () => void) => void;

/**
 * Wraps each callback of a handler.
 *
 * @example
 * const guard = (work) => supervisor.run({name, onFailure}, work);
 * link.open({id, message, handler: guardHandler(handler, guard)});
 */
export function guardHandler(
  handler: LinkHandler,
  guard: Guard,
): Required<LinkHandler> {
  return {
    onTokens: (message) => guard(() => handler.onTokens?.(message)),
    onLineage: (message) => guard(() => handler.onLineage?.(message)),
    onEnd: (message) => guard(() => handler.onEnd?.(message)),
    onFailed: (message) => guard(() => handler.onFailed?.(message)),
    onReply: (message) => guard(() => handler.onReply?.(message)),
    onKeyState: (message) => guard(() => handler.onKeyState?.(message)),
    onRefused: (message) => guard(() => handler.onRefused(message)),
    onLost: (reason) => guard(() => handler.onLost(reason)),
    onDraining: () => guard(() => handler.onDraining?.()),
    onHedgeDue: () => guard(() => handler.onHedgeDue?.()),
  };
}

/** Which of two waiting plain calls is more urgent. */
import type {QueuedCall} from './types.js';

/**
 * Compares calls by the order in which they are sent: by priority, then those
 * that can still be on time, then by objective. Negative if `a` comes first.
 *
 * @example
 * calls.sort((a, b) => compareUrgency({a, b, earliestEndMs}));
 */
export function compareUrgency(options: {
  a: QueuedCall;
  b: QueuedCall;
  /** Time at which a call that is sent now would end. */
  earliestEndMs: number;
}): number {
  const {a, b, earliestEndMs} = options;
  return (
    a.priority - b.priority ||
    isLate(a, earliestEndMs) - isLate(b, earliestEndMs) ||
    a.objectiveAtMs - b.objectiveAtMs
  );
}

/**
 * 1 for a call that can't be on time if it is sent now, otherwise 0.
 *
 * @example
 * isLate({...call, objectiveAtMs: 90}, 100); // 1
 */
export function isLate(call: QueuedCall, earliestEndMs: number): number {
  return Number(call.objectiveAtMs < earliestEndMs);
}

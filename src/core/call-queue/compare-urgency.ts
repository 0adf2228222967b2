/** The order in which waiting plain calls are sent, and which one yields. */
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
  const isLate = ({objectiveAtMs}: QueuedCall) =>
    Number(objectiveAtMs < earliestEndMs);
  return (
    a.priority - b.priority ||
    isLate(a) - isLate(b) ||
    a.objectiveAtMs - b.objectiveAtMs
  );
}

/**
 * Finds the call that a full queue refuses: the one that would be sent last, so
 * a less urgent one, then one that is late anyway, then the latest objective. Of
 * equal ones the last given yields. Undefined if there is none.
 *
 * @example
 * chooseYielding({waiting: [...waiting, newcomer], earliestEndMs});
 */
export function chooseYielding<T extends {readonly call: QueuedCall}>(options: {
  waiting: Iterable<T>;
  earliestEndMs: number;
}): T | undefined {
  const {waiting, earliestEndMs} = options;
  let last: T | undefined;
  for (const item of waiting) {
    const isLast =
      last === undefined ||
      compareUrgency({a: item.call, b: last.call, earliestEndMs}) >= 0;
    if (isLast) last = item;
  }
  return last;
}

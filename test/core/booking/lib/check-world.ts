/** Checks responses to callers against the executions at the service. */
import {EvidenceKind} from '../../../../src/core/booking/index.js';
import {Executed} from '../../../../src/core/errors/index.js';
import type {World} from './world.js';

/** Returns a description of the first violation, or undefined. */
export function findViolation(world: World): string | undefined {
  const total = Object.values(world.executions).reduce((a, b) => a + b, 0);
  if (total > 1) return `ran ${total} times`;
  for (const request of world.requests) {
    if (request.hasDisconnected) continue;
    const {fingerprint} = request.state;
    const count = world.executions[fingerprint] ?? 0;
    if (request.verdict === Executed.NO) {
      // For a key declared as new, the verdict covers executions up to the
      // response only.
      const isDeclaredNew =
        request.evidence === EvidenceKind.NOT_CLAIMED_FIRST_USE;
      const executions = isDeclaredNew ? request.executionsAtResponse : count;
      if (executions > 0)
        return `reported no (${request.evidence}), ran ${executions} times`;
    }
    if (request.verdict !== Executed.YES) continue;
    if (count !== 1) return `reported yes, ran ${count} times`;
    if (request.execution !== 1) return 'reported another outcome';
  }
  return undefined;
}

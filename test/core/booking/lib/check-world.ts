/** What must hold of callers' answers and the service's own count. */
import {EvidenceKind} from '../../../../src/core/booking/index.js';
import {Executed} from '../../../../src/core/errors/index.js';
import type {World} from './world.js';

/** The first violation, or undefined. */
export function findViolation(world: World): string | undefined {
  const total = Object.values(world.executions).reduce((a, b) => a + b, 0);
  if (total > 1) return `ran ${total} times`;
  for (const request of world.requests) {
    if (request.hungUp) continue;
    const {fingerprint} = request.state;
    const count = world.executions[fingerprint] ?? 0;
    if (request.told === Executed.NO) {
      // Vouched for as new: it speaks of the time until it was said.
      const vouched = request.evidence === EvidenceKind.NOT_CLAIMED_FIRST_USE;
      const ran = vouched ? request.ranWhenTold : count;
      if (ran > 0) return `told no (${request.evidence}), ran ${ran} times`;
    }
    if (request.told !== Executed.YES) continue;
    if (count !== 1) return `told yes, ran ${count} times`;
    if (request.execution !== 1) return 'told of another outcome';
  }
  return undefined;
}

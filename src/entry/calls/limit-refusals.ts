/** Targets that refused a request because of the limits that they name. */
import type {Refusal} from '../../core/errors/index.js';

/**
 * Collects these refusals for one request. They cost no retry, since the target
 * got nothing, and none of them is worse than the one with the shortest wait.
 *
 * @example
 * const limits = new LimitRefusals();
 * limits.add('stock-1', refusal);
 */
export class LimitRefusals {
  private readonly refusals = new Map<string, Refusal>();

  add(vm: string, refusal: Refusal): void {
    this.refusals.set(vm, refusal);
  }

  /** VMs of the targets that refused. */
  get vms(): string[] {
    return [...this.refusals.keys()];
  }

  /** The refusal with the shortest Retry-After; undefined if there is none. */
  get shortest(): Refusal | undefined {
    return [...this.refusals.values()].sort((a, b) => waitOf(a) - waitOf(b))[0];
  }
}

function waitOf({retryAfterMs = Infinity}: Refusal): number {
  return retryAfterMs;
}

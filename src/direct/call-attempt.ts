/** One attempt of a plain call. */
import type {TimerHandle} from '../core/clock/index.js';
import type {Exchange} from '../core/edges/direct-target.js';
import type {AttemptResult} from '../core/retrying/index.js';
import type {Target, TargetWork} from '../core/targets/index.js';
import type {DirectContext, DirectWork} from './context.js';

/** An attempt in progress. */
export interface CallAttempt {
  readonly target: Target;
  readonly targetWork: TargetWork;
  /** How much longer than usual the call was expected to take. */
  readonly scale: number;
  /** Undefined until the call is sent. */
  exchange?: Exchange;
  /** Ends the attempt if it is slow and may be replaced. */
  timer?: TimerHandle;
}

/**
 * Records how long the target took, if it responded.
 *
 * @example
 * recordServiceTime({ctx, work, attempt, result: {status: 200}});
 */
export function recordServiceTime(options: {
  ctx: Pick<DirectContext, 'clock' | 'callQueues'>;
  work: DirectWork;
  attempt: CallAttempt;
  result: AttemptResult;
}): void {
  const {ctx, work, attempt, result} = options;
  if (result.failure !== undefined) return;
  const {targetWork, scale} = attempt;
  const heldMs = ctx.clock.now() - targetWork.startedAtMs;
  ctx.callQueues.recordServed(work.service.name, {heldMs, scale});
}

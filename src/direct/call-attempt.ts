/** One attempt of a plain call. */
import type {TimerHandle} from '../core/clock/index.js';
import type {Exchange} from '../core/edges/direct-target.js';
import type {Target, TargetWork} from '../core/targets/index.js';

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

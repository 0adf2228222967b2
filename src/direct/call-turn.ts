/** The wait of one plain call until it may be sent. */
import type {CallTargets} from './call-targets.js';
import type {DirectWork, RequestContext} from './context.js';

/**
 * Waits in the queue of the call's service, each time that the call asks to be
 * sent.
 *
 * @example
 * const turn = new CallTurn({ctx, work, targets, onRefuse});
 * turn.await({onSend: () => send()});
 */
export class CallTurn {
  private leaveQueue: () => void = () => undefined;

  constructor(
    private readonly options: {
      ctx: RequestContext;
      work: DirectWork;
      targets: CallTargets;
      /** The call is refused; a retry has a chance after this time, in ms. */
      onRefuse: (retryAfterMs: number) => void;
    },
  ) {}

  /** Calls `onSend` as soon as there is room for the call at a target. */
  await(options: {
    onSend: () => void;
    /** Whether the entry held the call back when it was to be sent. */
    wasHeldBack?: boolean;
  }): void {
    const {ctx, work, targets, onRefuse} = this.options;
    const {onSend, wasHeldBack} = options;
    this.leaveQueue = ctx.callQueues.enter({
      work,
      mayUse: (target) => targets.mayUse(target),
      wasHeldBack,
      onSend: ctx.boundary.guard(onSend),
      onRefuse: ctx.boundary.guard(onRefuse),
    });
  }

  /** Ends the wait. */
  leave(): void {
    this.leaveQueue();
  }
}

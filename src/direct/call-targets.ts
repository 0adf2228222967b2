/** Chooses the targets of one plain call. */
import {chooseCallTarget} from '../core/placing/index.js';
import type {Target} from '../core/targets/index.js';
import type {DirectWork, RequestContext} from './context.js';
import {PermittedChoice} from './limits/index.js';

/** How often a call may be held back at targets that could take it before. */
const MAX_HELD_BACK = 16;

/** Which targets may be chosen. */
interface Choice {
  /** Whether only those that can take the call now; otherwise it may wait. */
  readonly isFree?: boolean;
  /** Ids of targets that give no permit now. */
  readonly heldBack?: Iterable<string>;
}

/**
 * Chooses a target for each attempt of a call, none of them twice, and asks for
 * a permit where the target names a limit.
 *
 * @example
 * const targets = new CallTargets({ctx, work, isOver: () => false});
 * targets.withTarget((target) => send(target));
 */
export class CallTargets {
  private readonly tried = new Set<string>();
  private heldBackCount = 0;
  private readonly permitted: PermittedChoice;

  constructor(
    private readonly options: {
      ctx: RequestContext;
      work: DirectWork;
      /** Whether the call is over. */
      isOver: () => boolean;
    },
  ) {
    this.permitted = new PermittedChoice(options);
  }

  /** Time until a target should give a permit; undefined if none is asked. */
  get waitMs(): number | undefined {
    return this.permitted.waitMs;
  }

  /** Excludes a target from further choices. */
  recordTried(target: Target): void {
    this.tried.add(target.id);
  }

  /**
   * The entry itself held the call back. The target may be tried again, but from
   * now on one is preferred that can take the call.
   */
  recordHeldBack(target: Target): void {
    this.heldBackCount++;
    if (this.heldBackCount < MAX_HELD_BACK) this.tried.delete(target.id);
  }

  /** Whether the call may still be sent to a target. */
  mayUse(target: Target): boolean {
    return !this.tried.has(target.id);
  }

  /** Whether a target would not be held back from the call now. */
  private canTake({record}: Target): boolean {
    const {ctx, work} = this.options;
    const {maxConnections} = work.service;
    const bodyBytes = work.req.body.length;
    return ctx.client.canTake({target: record, maxConnections, bodyBytes});
  }

  /** The best target that was not tried; undefined if there is none. */
  choose({isFree = false, heldBack = []}: Choice = {}): Target | undefined {
    const {ctx, work} = this.options;
    const targets = ctx.targets.ofService(work.service.name);
    const excluded = new Set([...this.tried, ...heldBack]);
    const query = {dataCentre: ctx.dataCentre, random: ctx.random, excluded};
    if (isFree || this.heldBackCount > 0) {
      const free = targets.filter((target) => this.canTake(target));
      const target = chooseCallTarget({...query, targets: free});
      if (isFree || target !== undefined) return target;
    }
    return chooseCallTarget({...query, targets});
  }

  /**
   * Passes on a target that may be sent to now, at once if it names no limit;
   * undefined if there is none. Nothing is passed on once the call is over.
   */
  withTarget(
    run: (target: Target | undefined) => void,
    {isFree}: Choice = {},
  ): void {
    const target = this.choose({isFree});
    if (target?.limitPerSecond === undefined) {
      run(target);
      return;
    }
    const {heldBack} = this.permitted;
    const next = () => this.choose({isFree, heldBack});
    const hasNext = () => next() !== undefined;
    const {ctx, isOver} = this.options;
    ctx.boundary.run(async () => {
      const permitted = await this.permitted.choose({next, hasNext});
      if (!isOver()) run(permitted);
    });
  }
}

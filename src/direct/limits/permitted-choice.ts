/** Chooses a target to which a request may be sent now. */
import {PermitNeed} from '../../core/limits/index.js';
import type {Target} from '../../core/targets/index.js';
import type {DirectContext, DirectWork} from '../context.js';

/** The targets among which one is chosen. */
export interface Candidates {
  /** The best target that is not held back; undefined if none is left. */
  readonly next: () => Target | undefined | Promise<Target | undefined>;
  /** Whether there is a target that is not held back. */
  readonly hasNext: () => boolean;
}

/**
 * Asks for permits at targets that name a limit, for one request. A target that
 * gives none is held back, and the next one is chosen.
 *
 * @example
 * const permitted = new PermittedChoice({ctx, work});
 * const target = await permitted.choose({next, hasNext});
 */
export class PermittedChoice {
  private readonly heldBackIds = new Set<string>();
  private shortestWaitMs?: number;

  constructor(
    private readonly options: {ctx: DirectContext; work: DirectWork},
  ) {}

  /** Ids of the targets that gave no permit in the last choice. */
  get heldBack(): ReadonlySet<string> {
    return this.heldBackIds;
  }

  /**
   * Time until a target that is held back should give a permit, in milliseconds;
   * undefined if none is held back.
   */
  get waitMs(): number | undefined {
    return this.shortestWaitMs;
  }

  /** Chooses a target anew; undefined if none may be used now. */
  async choose({next, hasNext}: Candidates): Promise<Target | undefined> {
    this.heldBackIds.clear();
    this.shortestWaitMs = undefined;
    let target = await next();
    while (target?.limitPerSecond !== undefined) {
      this.heldBackIds.add(target.id);
      const need = hasNext() ? PermitNeed.OPTIONAL : PermitNeed.REQUIRED;
      if (await this.mayUse(target, need)) return target;
      target = await next();
    }
    return target;
  }

  /** Whether the request may be sent to a target now. */
  async mayUse(
    target: Target,
    need: PermitNeed = PermitNeed.OPTIONAL,
  ): Promise<boolean> {
    if (target.limitPerSecond === undefined) return true;
    const {ctx, work} = this.options;
    const {route, account} = work.admitted;
    const {isGranted, retryAfterMs} = await ctx.limits.request({
      target,
      need,
      priority: account?.priority ?? route.priority,
      clientAccount: account?.clientAccount ?? '',
    });
    if (!isGranted) this.recordRefusal(need, retryAfterMs);
    return isGranted;
  }
  /** Only for a required permit a place is kept, so its time is the true one. */
  private recordRefusal(need: PermitNeed, waitMs: number): void {
    const isRequired = need === PermitNeed.REQUIRED;
    const shorterMs = Math.min(this.shortestWaitMs ?? Infinity, waitMs);
    this.shortestWaitMs = isRequired ? waitMs : shorterMs;
  }
}

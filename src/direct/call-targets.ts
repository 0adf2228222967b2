/** Chooses the targets of one plain call. */
import {chooseCallTarget} from '../core/placing/index.js';
import type {Target} from '../core/targets/index.js';
import type {DirectWork, RequestContext} from './context.js';
import {PermittedChoice} from './limits/index.js';

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

  /** The best target that was not tried; undefined if there is none. */
  choose(heldBack: Iterable<string> = []): Target | undefined {
    const {ctx, work} = this.options;
    return chooseCallTarget({
      targets: ctx.targets.ofService(work.service.name),
      dataCentre: ctx.dataCentre,
      excluded: new Set([...this.tried, ...heldBack]),
      random: ctx.random,
    });
  }

  /**
   * Passes on a target that may be sent to now, at once if it names no limit;
   * undefined if there is none. Nothing is passed on once the call is over.
   */
  withTarget(run: (target: Target | undefined) => void): void {
    const target = this.choose();
    if (target?.limitPerSecond === undefined) {
      run(target);
      return;
    }
    const next = () => this.choose(this.permitted.heldBack);
    const hasNext = () => next() !== undefined;
    const {ctx, isOver} = this.options;
    ctx.boundary.run(async () => {
      const permitted = await this.permitted.choose({next, hasNext});
      if (!isOver()) run(permitted);
    });
  }
}

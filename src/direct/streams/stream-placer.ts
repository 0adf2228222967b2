/** Where a stream runs next, and where its copy goes. */
import type {EngineQuery} from '../../core/placing/index.js';
import {
  chooseEngine,
  rankByFingerprint,
  shortlistEngines,
} from '../../core/placing/index.js';
import type {Target} from '../../core/targets/index.js';
import {DOUBT_MS, LEAVING_WORK_MS, SHORTLIST} from '../consts.js';
import type {DirectContext, DirectWork} from '../context.js';

/**
 * Chooses targets for one stream, with what it has met so far.
 *
 * @example
 * const target = await placer.findTarget();
 * const copy = placer.chooseCopy(target);
 */
export class StreamPlacer {
  /** Tokens that the stream holds in a target's memory at its end. */
  readonly tokens: number;
  private readonly ctx: DirectContext;
  private readonly work: DirectWork;
  /** Targets that did not take the stream. */
  private readonly excluded = new Set<string>();
  /** Present where the stream is kept apart from others. */
  private identity?: string;
  /** Data centres in which the stream has just lost a target. */
  private readonly doubtful = new Set<string>();

  constructor(options: {ctx: DirectContext; work: DirectWork}) {
    this.ctx = options.ctx;
    this.work = options.work;
    const {generation} = this.work.req;
    this.tokens =
      (generation?.promptTokens ?? 0) + (generation?.maxOutputTokens ?? 0);
  }

  /** Keeps the stream apart from others that lost the same targets. */
  keepApart(identity: string): void {
    this.identity = identity;
  }

  /** Asks the best engines for their load, then takes the best of them. */
  async findTarget(): Promise<Target | undefined> {
    const candidates = this.shortlist();
    await this.ctx.prober.refresh(candidates);
    if (this.identity !== undefined) return candidates.find(isHere);
    const target = chooseEngine({...this.choice(), targets: candidates});
    const isUsable = target !== undefined && isHere(target);
    return isUsable ? target : undefined;
  }

  /** Where the memory of a run is copied to; undefined if nowhere. */
  chooseCopy(runner: Target): Target | undefined {
    const {engine} = this.work.service;
    const {isResumable} = this.work.admitted.route;
    if (engine === undefined || !engine.canCopy || !isResumable) {
      return undefined;
    }
    return chooseEngine({
      ...this.choice(),
      excluded: new Set([runner.id]),
      avoidedDataCentres: new Set([...this.doubtful, runner.record.dataCentre]),
      preferRecentlySeen: true,
    });
  }

  exclude(target: Target): void {
    this.excluded.add(target.id);
  }

  /** Lets all targets be tried again. */
  forgetExcluded(): void {
    this.excluded.clear();
  }

  /** Data centres fail as a whole: none that was just lost is chosen. */
  doubt(lost: Target): void {
    const {dataCentre} = lost.record;
    this.doubtful.add(dataCentre);
    this.ctx.clock.schedule({
      delayMs: DOUBT_MS,
      run: () => void this.doubtful.delete(dataCentre),
    });
  }

  private shortlist(): Target[] {
    const {identity} = this;
    if (identity === undefined)
      return shortlistEngines(this.choice(), SHORTLIST);
    const all = shortlistEngines(this.choice(), Number.POSITIVE_INFINITY);
    return rankByFingerprint(identity, all.filter(isHere)).slice(0, SHORTLIST);
  }

  private choice(): EngineQuery {
    const {ctx, work, tokens} = this;
    return {
      targets: ctx.targets.ofService(work.service.name),
      tokens,
      kvCapacityTokens: work.service.engine?.kvCapacityTokens ?? Infinity,
      excluded: this.excluded,
      avoidedDataCentres: this.doubtful,
      random: ctx.random,
    };
  }
}

/**
 * Whether a target still takes a stream of which it holds a copy: one that
 * began to leave a moment ago does.
 *
 * @example
 * if (canGoOnAt(holder)) goOnAt(holder);
 */
export function canGoOnAt(holder: Target): boolean {
  const leavingForMs = holder.drainingForMs() ?? 0;
  return leavingForMs < LEAVING_WORK_MS && !holder.isPaused();
}

function isHere(target: Target): boolean {
  return !target.record.isDraining && !target.isPaused();
}

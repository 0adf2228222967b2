/** Where a stream runs next, and where its copy goes. */
import type {EngineQuery} from '../../core/placing/index.js';
import {
  chooseEngine,
  rankByFingerprint,
  shortlistEngines,
} from '../../core/placing/index.js';
import type {Target} from '../../core/targets/index.js';
import {
  AVOID_DATA_CENTRE_MS,
  DRAINING_RESUME_WINDOW_MS,
  SHORTLIST_SIZE,
} from '../consts.js';
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
  private isolatedFingerprint?: string;
  /** Data centres in which the stream has just lost a target. */
  private readonly avoidedDataCentres = new Set<string>();

  constructor(options: {ctx: DirectContext; work: DirectWork}) {
    this.ctx = options.ctx;
    this.work = options.work;
    const {generation} = this.work.req;
    this.tokens =
      (generation?.promptTokens ?? 0) + (generation?.maxOutputTokens ?? 0);
  }

  /** Keeps the stream apart from others that lost the same targets. */
  isolate(fingerprint: string): void {
    this.isolatedFingerprint = fingerprint;
  }

  /** Asks the best engines for their load, then takes the best of them. */
  async findTarget(): Promise<Target | undefined> {
    const candidates = this.shortlist();
    await this.ctx.prober.refreshReports(candidates);
    if (this.isolatedFingerprint !== undefined)
      return candidates.find(isAvailable);
    const target = chooseEngine({...this.engineChoice(), targets: candidates});
    const isUsable = target !== undefined && isAvailable(target);
    return isUsable ? target : undefined;
  }

  /** Where the memory of a run is copied to; undefined if nowhere. */
  chooseCopyHolder(runner: Target): Target | undefined {
    const {engine} = this.work.service;
    const {isResumable} = this.work.admitted.route;
    if (engine === undefined || !engine.canCopy || !isResumable) {
      return undefined;
    }
    return chooseEngine({
      ...this.engineChoice(),
      excluded: new Set([runner.id]),
      avoidedDataCentres: new Set([
        ...this.avoidedDataCentres,
        runner.record.dataCentre,
      ]),
      preferRecentlySeen: true,
    });
  }

  exclude(target: Target): void {
    this.excluded.add(target.id);
  }

  /** Lets all targets be tried again. */
  clearExcluded(): void {
    this.excluded.clear();
  }

  /** Data centres fail as a whole: none that was just lost is chosen. */
  avoidDataCentreOf(lost: Target): void {
    const {dataCentre} = lost.record;
    this.avoidedDataCentres.add(dataCentre);
    this.ctx.clock.schedule({
      delayMs: AVOID_DATA_CENTRE_MS,
      run: () => void this.avoidedDataCentres.delete(dataCentre),
    });
  }

  private shortlist(): Target[] {
    const {isolatedFingerprint} = this;
    if (isolatedFingerprint === undefined)
      return shortlistEngines(this.engineChoice(), SHORTLIST_SIZE);
    const all = shortlistEngines(this.engineChoice(), Number.POSITIVE_INFINITY);
    return rankByFingerprint(
      isolatedFingerprint,
      all.filter(isAvailable),
    ).slice(0, SHORTLIST_SIZE);
  }

  private engineChoice(): EngineQuery {
    const {ctx, work, tokens} = this;
    return {
      targets: ctx.targets.ofService(work.service.name),
      tokens,
      kvCapacityTokens: work.service.engine?.kvCapacityTokens ?? Infinity,
      excluded: this.excluded,
      avoidedDataCentres: this.avoidedDataCentres,
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
export function canResumeAt(holder: Target): boolean {
  const leavingForMs = holder.drainingForMs() ?? 0;
  return leavingForMs < DRAINING_RESUME_WINDOW_MS && !holder.isPaused();
}

function isAvailable(target: Target): boolean {
  return !target.record.isDraining && !target.isPaused();
}

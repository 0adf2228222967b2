/** Chooses where a stream runs and where its KV cache is copied to. */
import {outsideDataCentre, spreadHolders} from '../../core/copies/index.js';
import {mostlyLost} from '../../core/outages/index.js';
import type {EngineQuery} from '../../core/placing/index.js';
import {
  chooseEngine,
  promptAffinity,
  rankByFingerprint,
  SHORTLIST_SIZE,
  shortlistEngines,
} from '../../core/placing/index.js';
import {hasRoomForCopy} from '../../core/room/index.js';
import type {Target} from '../../core/targets/index.js';
import {
  AVOID_DATA_CENTRE_MS,
  DRAINING_RESUME_WINDOW_MS,
  HOLDER_SEEN_MS,
  HOLDER_SHORTLIST_SIZE,
} from '../consts.js';
import type {DirectContext, DirectWork} from '../context.js';

/**
 * Chooses targets for one stream, based on its failed attempts.
 *
 * @example
 * const target = await placer.findTarget();
 * const holder = placer.chooseCopyHolder(target);
 */
export class StreamPlacer {
  /** Tokens in the KV cache at the end of the stream. */
  readonly tokens: number;
  private readonly ctx: DirectContext;
  private readonly work: DirectWork;
  /** Targets that did not accept the stream. */
  private readonly excluded = new Set<string>();
  /** Targets without room at the present look. */
  private readonly withoutRoom = new Set<string>();
  /** Targets that give no permit now. */
  private readonly heldBack: ReadonlySet<string>;
  /** Fingerprint of the request if the stream is isolated from others. */
  private isolatedFingerprint?: string;
  /** Data centres in which the stream recently lost a target. */
  private readonly avoidedDataCentres = new Set<string>();

  constructor(options: {
    ctx: DirectContext;
    work: DirectWork;
    /** Ids of the targets that give no permit now. */
    heldBack: ReadonlySet<string>;
  }) {
    this.ctx = options.ctx;
    this.work = options.work;
    this.heldBack = options.heldBack;
    const {generation} = this.work.req;
    this.tokens =
      (generation?.promptTokens ?? 0) + (generation?.maxOutputTokens ?? 0);
  }

  /**
   * Isolates the stream from others that lost the same targets: from now on its
   * targets are ranked by its fingerprint, which differs from that of others.
   */
  isolate(fingerprint: string): void {
    this.isolatedFingerprint = fingerprint;
  }

  get isIsolated(): boolean {
    return this.isolatedFingerprint !== undefined;
  }

  /** Queries the load of the best engines, then chooses the best of them. */
  async findTarget(): Promise<Target | undefined> {
    const candidates = this.shortlist();
    const holders = this.shortlistHolders();
    await this.ctx.prober.refreshReports([...candidates, ...holders]);
    if (this.isolatedFingerprint !== undefined)
      return candidates.find(isAvailable);
    const target = chooseEngine({...this.engineQuery(), targets: candidates});
    const isUsable = target !== undefined && isAvailable(target);
    return isUsable ? target : undefined;
  }

  /** Whether there is a target that is not held back. */
  hasTarget(): boolean {
    const {excluded, heldBack} = this;
    return this.ctx.targets
      .ofService(this.work.service.name)
      .filter(({id}) => !excluded.has(id) && !heldBack.has(id))
      .some(isAvailable);
  }

  /** Whether a target names no limit, even if it does not respond now. */
  hasUnlimited(): boolean {
    return this.ctx.targets
      .ofService(this.work.service.name)
      .some((target) => target.limitPerSecond === undefined);
  }

  /**
   * Target for a copy of the runner's KV cache; undefined if none. One with a
   * limit might not permit the resumption.
   */
  chooseCopyHolder(runner: Target): Target | undefined {
    const {engine} = this.work.service;
    const {isResumable} = this.work.admitted.route;
    if (engine === undefined || !engine.canCopy || !isResumable) {
      return undefined;
    }
    const query = this.engineQuery();
    return chooseEngine({
      ...query,
      targets: spreadHolders({
        ...query,
        targets: this.copyCandidates(query.targets, runner),
        isSeen: (t) => t.lastSeenAgeMs() <= HOLDER_SEEN_MS && !t.isPaused(),
      }),
      excluded: new Set([runner.id, ...this.limitedIds()]),
      avoidedDataCentres: new Set([
        ...this.avoidedDataCentres,
        runner.record.dataCentre,
        ...mostlyLost({targets: query.targets, isLost: (t) => t.isPaused()}),
      ]),
      preferRecentlySeen: true,
    });
  }

  /** Asks for the reports of engines that may have room, then chooses. */
  async findCopyHolder(runner: Target): Promise<Target | undefined> {
    const holders = this.shortlistHolders(runner);
    await this.ctx.prober.refreshReports(holders);
    return this.chooseCopyHolder(runner);
  }

  /** Whether a stream without a copy gets one when an engine has room. */
  get looksForHolders(): boolean {
    const {service, admitted} = this.work;
    const {holdMs, canCopy} = service.engine ?? {};
    return holdMs !== undefined && !!canCopy && admitted.route.isResumable;
  }

  /** Engines that reserve room hold copies only beside their present work. */
  private copyCandidates(
    targets: readonly Target[],
    runner: Target,
  ): readonly Target[] {
    const {tokens, ctx, work} = this;
    const {kvCapacityTokens, holdMs} = work.service.engine ?? {};
    if (kvCapacityTokens === undefined || holdMs === undefined) return targets;
    const {meanTokens} = ctx.room.ofService(work.service.name);
    return outsideDataCentre({
      targets,
      candidates: targets.filter((target) =>
        hasRoomForCopy({target, tokens, meanTokens, kvCapacityTokens}),
      ),
      dataCentre: runner.record.dataCentre,
    });
  }

  private limitedIds(): string[] {
    return this.ctx.targets
      .ofService(this.work.service.name)
      .filter((target) => target.limitPerSecond !== undefined)
      .map((target) => target.id);
  }

  exclude(target: Target): void {
    this.excluded.add(target.id);
  }

  /** Leaves out a target without room until `clearWithoutRoom`. */
  recordWithoutRoom(target: Target): void {
    this.withoutRoom.add(target.id);
  }

  clearWithoutRoom(): void {
    this.withoutRoom.clear();
  }

  /** Allows all targets again. */
  clearExcluded(): void {
    this.excluded.clear();
  }

  /** Avoids a data centre for a while, as data centres fail as a whole. */
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
      return shortlistEngines(this.engineQuery(), SHORTLIST_SIZE);
    const all = shortlistEngines(this.engineQuery(), Number.POSITIVE_INFINITY);
    return rankByFingerprint(
      isolatedFingerprint,
      all.filter(isAvailable),
    ).slice(0, SHORTLIST_SIZE);
  }

  /**
   * Engines whose room for a copy should be known when it is chosen: the best one
   * of each data centre, but the runner's own if it is known, as that is lost
   * with it.
   */
  private shortlistHolders(runner?: Target): Target[] {
    if (!this.looksForHolders) return [];
    const own = runner?.record.dataCentre;
    return bestOfDataCentres(
      shortlistEngines(this.engineQuery(), Number.POSITIVE_INFINITY),
    )
      .filter(({record}) => record.dataCentre !== own)
      .slice(0, HOLDER_SHORTLIST_SIZE);
  }

  private engineQuery(): EngineQuery {
    const {ctx, work, tokens} = this;
    const targets = ctx.targets.ofService(work.service.name);
    return {
      targets,
      affinity: promptAffinity({
        promptParts: work.req.promptParts,
        isReturning: work.req.lastEventId !== undefined,
        targets: targets.filter(isAvailable),
      }),
      tokens,
      kvCapacityTokens: work.service.engine?.kvCapacityTokens ?? Infinity,
      excluded: new Set([
        ...this.excluded,
        ...this.heldBack,
        ...this.withoutRoom,
      ]),
      avoidedDataCentres: this.avoidedDataCentres,
      random: ctx.random,
    };
  }
}

/**
 * Whether a target accepts a stream whose KV cache copy it holds. A target does
 * so for a short time after it began to drain.
 *
 * @example
 * if (canResumeAt(holder)) resumeAt(holder);
 */
export function canResumeAt(holder: Target): boolean {
  const drainingForMs = holder.drainingForMs() ?? 0;
  if (holder.isPaused() || holder.backoffLeftMs() > 0) return false;
  return drainingForMs < DRAINING_RESUME_WINDOW_MS;
}

function isAvailable(target: Target): boolean {
  return !target.record.isDraining && !target.isPaused();
}

/** The first available target of each data centre. */
function bestOfDataCentres(ranked: readonly Target[]): Target[] {
  const best = new Map<string, Target>();
  for (const target of ranked.filter(isAvailable)) {
    const {dataCentre} = target.record;
    if (!best.has(dataCentre)) best.set(dataCentre, target);
  }
  return [...best.values()];
}

/** Finds a place for a stream: now, in its turn, or when targets respond. */
import type {TimerHandle} from '../../core/clock/index.js';
import type {KvCopyReference} from '../../core/edges/direct-target.js';
import {RefusalReason} from '../../core/errors/refusals.js';
import {MAX_ENGINES_PER_LOOK} from '../../core/room/index.js';
import type {Target} from '../../core/targets/index.js';
import {PLACEMENT_RETRY_MS} from '../consts.js';
import type {DirectWork, RequestContext} from '../context.js';
import {PermittedChoice} from '../limits/index.js';
import {RoomReservation, StreamRoom} from '../room/index.js';
import {retryAfterMsOf} from '../retry-after.js';
import type {KvCacheCopy, ResumableCopy} from './kv-cache-replicator.js';
import type {StreamLog} from './stream-log.js';
import {canResumeAt, StreamPlacer} from './stream-placer.js';
import type {TargetLoss} from './target-loss.js';
import {lostBeforeRun, wasHeldBack} from './target-loss.js';

/** What a stream does with the place that was found for it. */
export interface PlacementListener {
  send(target: Target, place: Place): void;
  refuse(reason: RefusalReason, retryAfterMs?: number): void;
  /** No target takes work before the deadline. */
  onNoTarget(): void;
}

/** What a target keeps for a stream. */
export interface Place {
  readonly copyFrom?: KvCopyReference;
  readonly reservation?: string;
}

/** Why a stream is placed again. */
export interface PlacementQuery {
  /** The KV cache copy of the lost attempt, if one can be used. */
  readonly copy?: ResumableCopy;
}

/**
 * Places one stream, again after each loss. A new one waits for room in its turn
 * if its engines reserve room; one that has run goes on at once.
 *
 * @example
 * const placement = new StreamPlacement({ctx, work, log, listener});
 * await placement.place({});
 */
export class StreamPlacement {
  readonly placer: StreamPlacer;
  private readonly permitted: PermittedChoice;
  private readonly room: StreamRoom;
  private readonly reservation: RoomReservation;
  private timer?: TimerHandle;
  private hasSent = false;
  /** Whether it was sent before the last place. */
  private hadSent = false;
  private isOver = false;

  constructor(
    private readonly options: {
      ctx: RequestContext;
      work: DirectWork;
      log: StreamLog;
      listener: PlacementListener;
      /** Present if the stream must be isolated from others now. */
      isolatedFingerprint: () => string | undefined;
    },
  ) {
    const {ctx, work, listener} = options;
    this.permitted = new PermittedChoice({ctx, work});
    const {heldBack} = this.permitted;
    this.placer = new StreamPlacer({ctx, work, heldBack});
    const {tokens} = this.placer;
    this.reservation = new RoomReservation({ctx, work, tokens});
    this.room = new StreamRoom({
      ctx,
      work,
      listener: {
        tryPlace: () => this.tryPlace(),
        placeAnyway: () => ctx.boundary.run(() => this.placeNow()),
        refuse: (reason, retryAfterMs) =>
          ctx.boundary.run(() => listener.refuse(reason, retryAfterMs)),
      },
    });
  }

  /**
   * Sends the stream to the holder of its KV cache copy or to another target;
   * tries again after a pause if no target is available.
   */
  async place({copy}: PlacementQuery): Promise<void> {
    const isSuspect = this.options.isolatedFingerprint() !== undefined;
    if (copy !== undefined && (!isSuspect || copy.isHarmless)) {
      if (await this.resumeFrom(copy)) return;
      this.options.log.recordCopyLost(copy.holder);
    }
    if (!this.hasSent) this.room.recordSize(this.placer.tokens);
    const mayWait = !this.hasSent && this.room.isLimited;
    await (mayWait ? this.room.enter() : this.placeNow());
  }

  /** Settles what a lost attempt had taken. */
  recordLoss(lost: Target, loss: TargetLoss): void {
    // Only a request that reached its target has used the reservation.
    if (lostBeforeRun(loss)) this.reservation.release();
    else this.reservation.forget();
    if (lostBeforeRun(loss)) this.placer.exclude(lost);
    if (wasHeldBack(loss)) this.hasSent = this.hadSent;
  }

  /** Ends the placement. `isSent` says that a target has the reservation. */
  close({isSent}: {isSent: boolean}): void {
    this.isOver = true;
    this.timer?.cancel();
    this.room.close();
    if (isSent) this.reservation.forget();
    this.reservation.close();
  }

  /** Time after which a caller may return, in milliseconds. */
  get retryAfterMs(): number {
    return retryAfterMsOf(this.options.ctx, this.options.work);
  }

  /** Whether the stream is over, or was sent to the holder of its copy. */
  private async resumeFrom(copy: KvCacheCopy): Promise<boolean> {
    const {holder, reference} = copy;
    const isUsable =
      canResumeAt(holder) && (await this.permitted.mayUse(holder));
    if (this.isOver) return true;
    if (isUsable) this.send(holder, {copyFrom: reference});
    return isUsable;
  }

  private send(target: Target, place: Place): void {
    this.hadSent = this.hasSent;
    this.hasSent = true;
    this.room.recordStart();
    this.options.listener.send(target, place);
  }

  private tryPlace(): Promise<boolean> {
    const {boundary} = this.options.ctx;
    return new Promise((resolve) => {
      boundary.run(async () => {
        try {
          resolve(await this.placeWithRoom());
        } catch (cause) {
          resolve(true);
          throw cause;
        }
      });
    });
  }

  /** Sends the stream where it has room; false if no engine has. */
  private async placeWithRoom(): Promise<boolean> {
    // It may have waited until it would be cut off by a planned stop.
    if (this.mustBeLeft()) {
      this.goOnWithoutTarget();
      return true;
    }
    this.placer.clearWithoutRoom();
    for (let i = 0; i < MAX_ENGINES_PER_LOOK; i++) {
      const target = await this.chooseTarget();
      if (this.isOver) return true;
      if (target === undefined) {
        if (i > 0) return false;
        this.goOnWithoutTarget();
        return true;
      }
      const hasRoom = await this.reservation.take(target);
      if (this.isOver) return true;
      if (hasRoom) {
        this.send(target, {reservation: this.reservation.id});
        return true;
      }
      this.placer.recordWithoutRoom(target);
    }
    return false;
  }

  /** Sends the stream to the best engine, where it may have to wait. */
  private async placeNow(): Promise<void> {
    if (this.room.isLimited && (await this.placeWithRoom())) return;
    this.placer.clearWithoutRoom();
    const target = await this.chooseTarget();
    if (this.isOver) return;
    if (target !== undefined) this.send(target, {});
    else this.goOnWithoutTarget();
  }

  /** Meanwhile the stream may have become a suspect. */
  private chooseTarget(): Promise<Target | undefined> {
    const fingerprint = this.options.isolatedFingerprint();
    if (fingerprint !== undefined) this.placer.isolate(fingerprint);
    return this.permitted.choose({
      next: () => this.placer.findTarget(),
      hasNext: () => this.placer.hasTarget() || this.placer.hasUnlimited(),
    });
  }

  private goOnWithoutTarget(): void {
    if (this.mustBeLeft())
      this.options.listener.refuse(RefusalReason.LEAVING, this.retryAfterMs);
    else this.waitForTarget();
  }

  /** Whether a planned stop leaves too little time for a stream to begin. */
  private mustBeLeft(): boolean {
    const {ctx, work} = this.options;
    const {route} = work.admitted;
    if (this.hasSent) return false;
    return !ctx.grace.hasTimeFor(route.operation, route.timeoutMs);
  }

  /**
   * A stream that has not begun is refused if targets give no permit, unless one
   * without a limit may respond again; one that has begun waits for them.
   */
  private waitForTarget(): void {
    const {ctx, work, listener} = this.options;
    const {waitMs} = this.permitted;
    if (waitMs === undefined || this.placer.hasUnlimited()) {
      this.schedule();
      return;
    }
    if (this.hasSent) {
      this.schedule(waitMs);
      return;
    }
    const retryAfterMs = retryAfterMsOf(ctx, work, waitMs);
    listener.refuse(RefusalReason.TARGET_LIMIT, retryAfterMs);
  }

  /** Whether no target takes work before the deadline. */
  private staysWithoutTarget(permitWaitMs: number): boolean {
    const {ctx, work} = this.options;
    const reopensInMs = ctx.targets.reopensInMs(work.service.name) ?? 0;
    const waitMs = Math.max(reopensInMs, permitWaitMs);
    return ctx.clock.now() + waitMs >= work.deadlineAtMs;
  }

  private schedule(permitWaitMs = 0): void {
    const {ctx, listener} = this.options;
    if (this.staysWithoutTarget(permitWaitMs)) {
      listener.onNoTarget();
      return;
    }
    this.placer.clearExcluded();
    this.timer = ctx.clock.schedule({
      delayMs: Math.max(PLACEMENT_RETRY_MS, permitWaitMs),
      run: () => ctx.boundary.run(() => this.place({})),
    });
  }
}

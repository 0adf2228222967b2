/** Runs one event stream, across as many targets as it takes. */
import type {TimerHandle} from '../../core/clock/index.js';
import type {
  AnswerHead,
  CopyReference,
} from '../../core/edges/direct-target.js';
import {RefusalReason, RetryReason} from '../../core/errors/refusals.js';
import {answerFailure, certainlyDidNotRun} from '../../core/retrying/index.js';
import type {RawEvent} from '../../core/streams/index.js';
import {
  EventSequence,
  EventVerdict,
  toPosition,
} from '../../core/streams/index.js';
import type {Target} from '../../core/targets/index.js';
import {
  MIN_EVENTS_FOR_COPY,
  MAX_PROMPT_ATTEMPTS,
  RETRY_AFTER_MS,
  PLACEMENT_RETRY_MS,
} from '../consts.js';
import type {DirectContext, DirectWork} from '../context.js';
import {PoisonDetector} from '../poison/index.js';
import {refuseUnsent} from '../refuse-unsent.js';
import type {KvCacheCopy} from './kv-cache-replicator.js';
import {StreamDelivery} from './stream-delivery.js';
import {canResumeAt, StreamPlacer} from './stream-placer.js';
import {toGenerationNeed} from './stream-durations.js';
import type {TargetLoss} from './stream-attempt.js';
import {StreamAttempt} from './stream-attempt.js';

/** Losses by which the data centre is seen to be there. */
const SIGNS_OF_LIFE: ReadonlySet<RetryReason> = new Set([
  RetryReason.TARGET_REFUSED,
  RetryReason.TARGET_REPLACED,
]);

/** Losses of which a request may be the cause. */
const UNEXPLAINED: ReadonlySet<RetryReason> = new Set([
  RetryReason.ENGINE_DIED,
  RetryReason.ENGINE_STALLED,
]);

/** First status that says that the target failed. */
const FIRST_FAILURE_STATUS = 500;

/**
 * One stream. Its events go to the caller as they come; when a target is
 * lost, another goes on after the last one.
 *
 * @example
 * new StreamRun({ctx, work}).start();
 */
export class StreamHandler {
  private readonly ctx: DirectContext;
  private readonly work: DirectWork;
  private readonly sequence: EventSequence;
  private readonly delivery: StreamDelivery;
  private readonly placer: StreamPlacer;
  private readonly poison: PoisonDetector;
  private readonly deadline: TimerHandle;
  private pause?: TimerHandle;
  private current?: StreamAttempt;
  /** The copy of what the lost run had in memory. */
  private copy?: KvCacheCopy;
  private isOver = false;
  /** Targets that began with the prompt. */
  private tries = 0;
  /** Targets to which the stream, or the rest of it, was sent. */
  private sends = 0;
  private mayHaveRun = false;

  constructor(options: {ctx: DirectContext; work: DirectWork}) {
    this.ctx = options.ctx;
    this.work = options.work;
    this.delivery = new StreamDelivery(options);
    this.placer = new StreamPlacer(options);
    this.poison = new PoisonDetector({
      ...options,
      onPoison: () => this.endAsPoison(),
    });
    const {clock} = this.ctx;
    const {lastEventId} = this.work.req;
    this.sequence = new EventSequence({lastId: toPosition(lastEventId)});
    this.deadline = clock.schedule({
      delayMs: Math.max(0, this.work.deadlineAtMs - clock.now()),
      run: () => this.giveUp(true),
    });
    this.work.res.onGone(() => this.leave());
  }

  start(): void {
    if (this.poison.isPoison()) {
      this.refuse(RefusalReason.POISON);
      return;
    }
    if (this.isHopeless()) {
      this.refuse(RefusalReason.DEADLINE_UNREACHABLE);
      return;
    }
    this.ctx.retryBudgets.recordFirstAttempt(this.work.service.name);
    if (this.poison.mayBePoison()) void this.beginWithCare();
    else void this.place();
  }

  /** The request lost targets before, here or at other entries. */
  private async beginWithCare(): Promise<void> {
    const mayGo = await this.poison.maySend();
    if (this.isOver) return;
    if (mayGo) void this.place();
    else this.refuse(RefusalReason.POISON);
  }

  /** Whether the time left is too short for any engine. */
  private isHopeless(): boolean {
    const {req, service, deadlineAtMs: endMs} = this.work;
    const need = toGenerationNeed(req, service);
    if (need === undefined) return false;
    const leftMs = endMs - this.ctx.clock.now();
    return this.ctx.streamDurations.of(service.name).isHopeless({need, leftMs});
  }

  private refuse(reason: RefusalReason): void {
    this.stop();
    const {ctx, work} = this;
    refuseUnsent({ctx, work, reason});
  }

  private async place(): Promise<void> {
    const {copy} = this;
    this.copy = undefined;
    if (this.poison.isSuspect()) {
      this.placer.isolate(this.poison.fingerprint);
    } else if (copy !== undefined && canResumeAt(copy.holder)) {
      this.send(copy.holder, copy.reference);
      return;
    } else if (copy !== undefined) {
      this.noteCopyLost(copy.holder);
    }
    const target = await this.placer.findTarget();
    if (this.isOver) return;
    if (target === undefined) this.wait();
    else this.send(target);
  }

  private wait(): void {
    this.placer.clearExcluded();
    this.pause = this.ctx.clock.schedule({
      delayMs: PLACEMENT_RETRY_MS,
      run: () => void this.place(),
    });
  }

  private send(target: Target, copyFrom?: CopyReference): void {
    const usesCopy = copyFrom !== undefined;
    this.sends++;
    if (!usesCopy) this.tries++;
    this.current = new StreamAttempt({
      ctx: this.ctx,
      work: this.work,
      target,
      chooseCopyHolder: () => this.placer.chooseCopyHolder(target),
      tokens: this.placer.tokens,
      lastEventId: this.sequence.lastId,
      hasDelivered: this.delivery.isOpen,
      copyFrom,
      listener: {
        onEvent: (head, event) => this.onEvent(head, event),
        onEnd: (head) => this.finish(head),
        onOtherResponse: (head, body) => this.onOtherAnswer(head, body),
        onLost: (loss) => this.onLost(loss),
      },
    });
    if (usesCopy || this.tries > 1) this.notePlaced(this.current, usesCopy);
  }

  private onEvent(head: AnswerHead, event: RawEvent): void {
    const verdict = this.sequence.judge(event.id);
    if (verdict === EventVerdict.PASS) {
      this.delivery.writeEvent(head, event);
    }
    if (verdict !== EventVerdict.GAP) return;
    this.current?.cancel();
    const reason = RetryReason.ENGINE_DIED;
    this.onLost({reason, detail: `event ${event.id} is out of order`});
  }

  private finish(head: AnswerHead): void {
    // Several targets may each have been ended by their part of it.
    if (this.sends === 1) this.poison.recordServed();
    this.stop();
    this.learnTimes();
    this.delivery.finish(head);
  }

  private onOtherAnswer(head: AnswerHead, body: Uint8Array): void {
    const isFailure = head.status >= FIRST_FAILURE_STATUS;
    if (isFailure || this.delivery.isOpen) {
      const reason = RetryReason.TARGET_REFUSED;
      this.mayHaveRun = true;
      this.onLost({reason, detail: `status ${head.status}`});
      return;
    }
    this.stop();
    this.work.res.sendWhole(head, body);
  }

  /** The present target is of no more use: another goes on, if it may. */
  private onLost(loss: TargetLoss): void {
    const lost = this.current;
    if (lost === undefined || this.isOver) return;
    this.current = undefined;
    this.noteLoss(lost, loss);
    const {failure, reason} = loss;
    const didNotRun = failure !== undefined && certainlyDidNotRun(failure);
    if (didNotRun) this.placer.exclude(lost.target);
    else this.mayHaveRun = true;
    const mayBeCause = !didNotRun && UNEXPLAINED.has(reason);
    if (mayBeCause) this.poison.recordLoss(lost);
    if (!SIGNS_OF_LIFE.has(reason)) this.placer.avoidDataCentreOf(lost.target);
    if (!this.mayGoOn(reason, lost.events > 0)) {
      this.giveUp(false);
      return;
    }
    if (lost.events >= MIN_EVENTS_FOR_COPY) this.copy = lost.copy;
    this.ctx.metrics.countRetry(reason);
    this.delivery.markResumed();
    if (mayBeCause && this.poison.isSuspect()) void this.goOnWithCare();
    else void this.place();
  }

  /** A request that lost several targets waits until their causes are known. */
  private async goOnWithCare(): Promise<void> {
    const mayGoOn = await this.poison.mayRetry();
    if (this.isOver) return;
    if (mayGoOn) void this.place();
    else this.giveUp(false);
  }

  private mayGoOn(reason: RetryReason, hadWritten: boolean): boolean {
    const {isResumable} = this.work.admitted.route;
    const mayRepeat = isResumable && this.sequence.isResumable;
    if (this.mayHaveRun && !mayRepeat) return false;
    if (this.tries >= MAX_PROMPT_ATTEMPTS || this.poison.isPoison())
      return false;
    const service = this.work.service.name;
    return this.ctx.retryBudgets.takeRetry({service, reason, hadWritten});
  }

  private giveUp(isTimedOut: boolean): void {
    if (this.isOver) return;
    const {isOpen} = this.delivery;
    const mayHaveRun = this.mayHaveRun || this.current !== undefined || isOpen;
    const target = this.current?.target;
    this.leave();
    const {status, reason} = answerFailure({mayHaveRun, isTimedOut});
    this.ctx.metrics.countRefusal(reason);
    this.ctx.logger.info('stream given up', {
      id: this.work.req.attemptId,
      status,
      reason,
      events: this.sequence.count,
      tries: this.tries,
      target: target?.id,
      unread: target?.estimatedUnread(),
      heldMs: Math.round(this.ctx.clock.now() - this.work.req.receivedMs),
      deadlineMs: this.work.req.deadlineMs,
    });
    if (isOpen) {
      this.work.res.abort();
      return;
    }
    const retryAfterMs = mayHaveRun ? undefined : RETRY_AFTER_MS;
    this.work.res.sendOwn({status, reason, retryAfterMs});
  }

  /** The request has just turned out to be poison. */
  private endAsPoison(): void {
    if (this.isOver) return;
    const isUntried = !this.mayHaveRun && this.current === undefined;
    if (isUntried) this.refuse(RefusalReason.POISON);
    else this.giveUp(false);
  }

  /** Ends without an answer; the caller may come again elsewhere. */
  private leave(): void {
    const {current} = this;
    if (this.isOver) return;
    if (current !== undefined) this.poison.recordUnresponsive(current);
    this.stop();
  }

  private stop(): void {
    this.isOver = true;
    this.poison.close();
    this.deadline.cancel();
    this.pause?.cancel();
    this.current?.cancel();
    this.current = undefined;
  }

  private learnTimes(): void {
    const {req, service} = this.work;
    const need = toGenerationNeed(req, service);
    if (need === undefined || need.hasEvents > 0 || this.tries > 1) return;
    const takenMs = this.ctx.clock.now() - req.receivedMs;
    const {firstEventMs} = this.delivery;
    this.ctx.streamDurations.of(service.name).learn({
      ...need,
      events: this.sequence.count,
      firstEventMs,
      writingMs: takenMs - firstEventMs,
    });
  }

  private noteLoss(lost: StreamAttempt, loss: TargetLoss): void {
    this.ctx.logger.info('stream lost its target', {
      id: this.work.req.attemptId,
      target: lost.target.id,
      dataCentre: lost.target.record.dataCentre,
      copy: lost.copy?.holder.id,
      events: this.sequence.count,
      reason: loss.reason,
      detail: loss.detail,
    });
  }

  private noteCopyLost(holder: Target): void {
    this.ctx.logger.info('copy of a stream is lost', {
      id: this.work.req.attemptId,
      holder: holder.id,
      dataCentre: holder.record.dataCentre,
      isLeaving: holder.record.isLeaving,
      isPaused: holder.isPaused(),
    });
  }

  private notePlaced({target, copy}: StreamAttempt, usesCopy: boolean): void {
    this.ctx.logger.info('stream goes on', {
      id: this.work.req.attemptId,
      target: target.id,
      dataCentre: target.record.dataCentre,
      requests: target.estimatedRequests(),
      unread: target.estimatedUnread(),
      reportAgeMs: Math.round(Math.min(target.reportAgeMs(), 1e6)),
      usesCopy,
      copyAt: copy?.holder.record.dataCentre,
    });
  }
}

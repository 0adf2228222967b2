/** Runs one plain call: at most once, or repeated where that is harmless. */
import type {TimerHandle} from '../core/clock/index.js';
import type {AnswerHead, Exchange} from '../core/edges/direct-target.js';
import {ExchangeFailure} from '../core/edges/direct-target.js';
import {RefusalReason, RetryReason} from '../core/errors/refusals.js';
import {LatencyName} from '../core/metrics/index.js';
import {chooseCallTarget} from '../core/placing/index.js';
import {
  answerFailure,
  certainlyDidNotRun,
  countsAsSent,
  decideRetry,
  isTargetFailure,
  retryReasonOf,
  RetryVerdict,
} from '../core/retrying/index.js';
import type {TryEnd} from '../core/retrying/index.js';
import {OperationKind} from '../core/routes/index.js';
import type {Target, TargetWork} from '../core/targets/index.js';
import {ResponseBody, TOO_LARGE_DETAIL} from './response-body.js';
import {RETRY_AFTER_MS, SAFE_ATTEMPT_TIME_SHARE} from './consts.js';
import type {DirectContext, DirectWork} from './context.js';
import {recordTargetFailure} from './record-target-failure.js';
import {PoisonDetector} from './poison/index.js';
import {refuseUnsent} from './refuse-unsent.js';
import {toTargetRequest} from './target-request.js';

/** A try under way. */
interface CallTry {
  readonly target: Target;
  readonly work: TargetWork;
  readonly exchange: Exchange;
  readonly timer: TimerHandle;
}

/**
 * One call. The whole answer of a target is collected before any of it goes
 * to the caller, so that a broken one can be replaced.
 *
 * @example
 * new CallRun({ctx, work}).start();
 */
export class CallHandler {
  private readonly ctx: DirectContext;
  private readonly work: DirectWork;
  private readonly tried = new Set<string>();
  private readonly deadline: TimerHandle;
  private readonly poison: PoisonDetector;
  private current?: CallTry;
  private head?: AnswerHead;
  private body = new ResponseBody();
  private sent = 0;
  private isOver = false;
  private mayHaveRun = false;

  constructor(options: {ctx: DirectContext; work: DirectWork}) {
    this.ctx = options.ctx;
    this.work = options.work;
    this.poison = new PoisonDetector({
      ...options,
      onPoison: () => this.endAsPoison(),
    });
    const {clock} = this.ctx;
    this.deadline = clock.schedule({
      delayMs: Math.max(0, this.work.deadlineAtMs - clock.now()),
      run: () => this.giveUp(true),
    });
    this.work.res.onGone(() => this.leave());
  }

  start(): void {
    if (this.poison.isPoison()) this.refuse(RefusalReason.POISON);
    else if (this.poison.mayBePoison()) void this.beginWithCare();
    else this.begin();
  }

  /** The request lost targets before, here or at other entries. */
  private async beginWithCare(): Promise<void> {
    const mayGo = await this.poison.maySend();
    if (this.isOver) return;
    if (mayGo) this.begin();
    else this.refuse(RefusalReason.POISON);
  }

  private begin(): void {
    const {service} = this.work;
    this.ctx.retryBudgets.recordFirstAttempt(service.name);
    const target = this.choose();
    if (target === undefined) {
      this.ctx.logger.warn('no target', {service: service.name});
      this.giveUp(false);
      return;
    }
    this.send(target);
  }

  private send(target: Target): void {
    const {ctx, work} = this;
    const {clock, client} = ctx;
    this.tried.add(target.id);
    this.head = undefined;
    this.body = new ResponseBody();
    const leftMs = work.deadlineAtMs - clock.now();
    const targetWork = target.begin({tokens: 0});
    const exchange = client.send({
      target: target.record,
      maxConnections: work.service.maxConnections,
      req: toTargetRequest({work, leftMs}),
      listener: {
        onHead: (head) => {
          this.head = head;
          if (head.load !== undefined) target.noteLoad(head.load);
        },
        onData: (chunk) => this.onData(chunk),
        onComplete: () => this.onEnd({status: this.head!.status}),
        onFailure: (failure, detail) => this.onFailure(failure, detail),
      },
    });
    const timer = clock.schedule({
      delayMs: Math.max(0, this.tryLimitMs(leftMs)),
      run: () => this.onSilence(),
    });
    this.current = {target, work: targetWork, exchange, timer};
  }

  private onData(chunk: Uint8Array): void {
    this.body.push(chunk);
    if (!this.body.isTooLarge) return;
    this.current!.exchange.cancel();
    this.onFailure(ExchangeFailure.BROKEN, TOO_LARGE_DETAIL);
  }

  /** An idempotent call leaves time for another try. */
  private tryLimitMs(leftMs: number): number {
    const {operation, maxAttempts} = this.work.admitted.route;
    const mayRepeat = operation === OperationKind.SAFE;
    return mayRepeat && this.sent + 1 < maxAttempts
      ? leftMs * SAFE_ATTEMPT_TIME_SHARE
      : leftMs * 2;
  }

  private onSilence(): void {
    const {current} = this;
    if (current === undefined) return;
    const next = this.choose();
    if (next === undefined || !this.takeFromBudget(RetryReason.CALL_SLOW)) {
      return;
    }
    this.noteTaken(current);
    current.exchange.cancel();
    current.target.noteFailure();
    this.closeTry();
    this.sent++;
    this.mayHaveRun = true;
    this.noteRetry(RetryReason.CALL_SLOW, current.target);
    this.send(next);
  }

  private onFailure(failure: ExchangeFailure, detail: string): void {
    const {target, work} = this.current!;
    const beganMs = work.begunMs;
    if (!certainlyDidNotRun(failure)) this.mayHaveRun = true;
    const isLost = failure === ExchangeFailure.BROKEN;
    if (isLost) this.poison.recordLoss({target, startedMs: beganMs});
    this.ctx.logger.info('try failed', {
      id: this.work.req.attemptId,
      target: target.id,
      failure,
      detail,
    });
    recordTargetFailure(target, failure);
    this.onEnd({failure});
  }

  private onEnd(end: TryEnd): void {
    const {target} = this.current!;
    target.noteAnswer(isTargetFailure(end));
    this.closeTry();
    if (countsAsSent(end.failure)) this.sent++;
    const next = this.choose();
    const {operation, maxAttempts} = this.work.admitted.route;
    const reason = retryReasonOf(end.failure, RetryReason.CALL_LOST);
    const verdict = decideRetry({
      operation,
      end,
      sent: this.sent,
      maxAttempts,
      hasTarget: next !== undefined,
      takeFromBudget: () => this.takeFromBudget(reason),
    });
    if (verdict === RetryVerdict.PASS_ON) {
      target.noteSuccess();
      this.passOn();
    } else if (verdict === RetryVerdict.RETRY) {
      this.noteRetry(reason, target);
      if (this.poison.isSuspect()) void this.goOnWithCare();
      else this.send(next!);
    } else {
      this.giveUp(false);
    }
  }

  /** A call that lost several targets waits until their causes are known. */
  private async goOnWithCare(): Promise<void> {
    const mayGoOn = await this.poison.mayRetry();
    if (this.isOver) return;
    const target = mayGoOn ? this.choose() : undefined;
    if (target === undefined) this.giveUp(false);
    else this.send(target);
  }

  private refuse(reason: RefusalReason): void {
    this.stop();
    const {ctx, work} = this;
    refuseUnsent({ctx, work, reason});
  }

  private passOn(): void {
    if (!isTargetFailure({status: this.head!.status}))
      this.poison.recordServed();
    this.stop();
    const ms = this.ctx.clock.now() - this.work.req.receivedMs;
    this.ctx.metrics.observe({name: LatencyName.PLAIN_CALL, ms});
    const {status, headers, hasLength} = this.head!;
    const body = this.body.toBytes();
    const {res} = this.work;
    if (hasLength) res.sendWhole({status, headers}, body);
    else res.sendUnframed({status, headers}, body);
  }

  private giveUp(isTimedOut: boolean): void {
    if (this.isOver) return;
    const wasUnderWay = this.current !== undefined;
    const target = this.current?.target;
    this.leave();
    const mayHaveRun = this.mayHaveRun || wasUnderWay;
    const {status, reason} = answerFailure({mayHaveRun, isTimedOut});
    this.ctx.metrics.countRefusal(reason);
    this.ctx.logger.info('refused', {
      id: this.work.req.attemptId,
      status,
      reason,
      sent: this.sent,
      target: target?.id,
      heldMs: Math.round(this.ctx.clock.now() - this.work.req.receivedMs),
      deadlineMs: this.work.req.deadlineMs,
    });
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
    if (current !== undefined) this.noteTaken(current);
    this.stop();
  }

  private noteTaken({target, work}: CallTry): void {
    this.poison.recordUnresponsive({target, startedMs: work.begunMs});
  }

  private stop(): void {
    this.isOver = true;
    this.poison.close();
    this.deadline.cancel();
    this.current?.exchange.cancel();
    this.closeTry();
  }

  private closeTry(): void {
    const {current} = this;
    if (current === undefined) return;
    current.timer.cancel();
    current.target.end(current.work);
    this.current = undefined;
  }

  private choose(): Target | undefined {
    const {ctx, work, tried} = this;
    return chooseCallTarget({
      targets: ctx.targets.ofService(work.service.name),
      dataCentre: ctx.dataCentre,
      tried,
      random: ctx.random,
    });
  }

  private noteRetry(reason: RetryReason, from: Target): void {
    this.ctx.metrics.countRetry(reason);
    this.ctx.logger.info('retry', {
      id: this.work.req.attemptId,
      reason,
      from: from.id,
    });
  }

  private takeFromBudget(reason: RetryReason): boolean {
    const service = this.work.service.name;
    return this.ctx.retryBudgets.takeRetry({service, reason});
  }
}

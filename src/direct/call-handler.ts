/** Runs one plain call: at most once, or with retries if it is idempotent. */
import type {TimerHandle} from '../core/clock/index.js';
import type {TargetResponseHead} from '../core/edges/direct-target.js';
import {ExchangeFailure} from '../core/edges/direct-target.js';
import {RefusalReason, RetryReason} from '../core/errors/refusals.js';
import {ServiceTime} from '../core/call-queue/index.js';
import {LatencyName} from '../core/metrics/index.js';
import {
  certainlyDidNotRun,
  countsAsSent,
  decideRetry,
  isTargetFailure,
  retryReasonOf,
  RetryDecision,
} from '../core/retrying/index.js';
import type {AttemptResult} from '../core/retrying/index.js';
import {TaskName} from '../core/supervision/index.js';
import type {Target} from '../core/targets/index.js';
import {attemptTimeoutMs} from './attempt-timeout.js';
import type {CallAttempt} from './call-attempt.js';
import {recordServiceTime} from './call-attempt.js';
import {CallLog} from './call-log.js';
import {CallTargets} from './call-targets.js';
import {CallTurn} from './call-turn.js';
import {CALL_QUEUE_CHECK_MS} from './consts.js';
import {ResponseBody} from './response-body.js';
import type {DirectContext, DirectWork, RequestContext} from './context.js';
import {forwardResponse} from './forward-response.js';
import {
  recordNotice,
  recordOutcome,
  recordTargetFailure,
} from './record-exchange.js';
import {PoisonDetector} from './poison/index.js';
import {refuseUnsent} from './refuse-unsent.js';
import {RequestBoundary, runAll} from './request-boundary.js';
import {retryAfterMsOf} from './retry-after.js';
import {sendFailure} from './send-failure.js';
import {toTargetRequest} from './target-request.js';

/** Logged if a response could not be handled; the cause has its own line. */
const UNREADABLE_DETAIL = 'its response could not be handled';

/**
 * Handles one plain call. The response of a target is buffered in full before
 * any of it is sent to the caller, so that a failed attempt can be retried.
 *
 * @example
 * new CallHandler({ctx, work, onOver}).start();
 */
export class CallHandler {
  private readonly ctx: RequestContext;
  private readonly boundary: RequestBoundary;
  private readonly work: DirectWork;
  private readonly onOver: () => void;
  private readonly log: CallLog;
  private readonly targets: CallTargets;
  private readonly turn: CallTurn;
  private deadline?: TimerHandle;
  private readonly poisonDetector: PoisonDetector;
  private current?: CallAttempt;
  private head?: TargetResponseHead;
  private body: ResponseBody;
  /** Finished attempts that count towards the maximum of the route. */
  private sentCount = 0;
  private isOver = false;
  /** Whether a finished attempt may have run the call. */
  private mayHaveRun = false;

  constructor(options: {
    ctx: DirectContext;
    work: DirectWork;
    /** Called once when the call is over. */
    onOver: () => void;
  }) {
    const {work, onOver} = options;
    this.work = work;
    this.onOver = onOver;
    this.boundary = new RequestBoundary({
      ctx: options.ctx,
      work,
      name: TaskName.CALL,
      release: () => this.release(),
    });
    const {ctx} = this.boundary;
    this.ctx = ctx;
    this.log = new CallLog({ctx, work});
    this.body = new ResponseBody(ctx);
    this.targets = new CallTargets({ctx, work, isOver: () => this.isOver});
    this.turn = new CallTurn({
      ctx,
      work,
      targets: this.targets,
      onRefuse: (retryAfterMs) => this.refuseFull(retryAfterMs),
    });
    this.poisonDetector = new PoisonDetector({
      ctx,
      work,
      onPoison: () => this.failAsPoison(),
    });
  }

  start(): void {
    this.boundary.run(() => this.begin());
  }

  private begin(): Promise<void> | void {
    const {clock} = this.ctx;
    this.deadline = clock.schedule({
      delayMs: Math.max(0, this.work.deadlineAtMs - clock.now()),
      run: () => this.fail(true),
    });
    this.work.res.onDisconnect(this.boundary.guard(() => this.abandon()));
    if (this.poisonDetector.isPoison()) this.refuse(RefusalReason.POISON);
    else if (this.poisonDetector.mayBePoison())
      return this.sendAfterDiagnosis();
    else this.sendFirst();
  }

  /**
   * Sends a call whose earlier attempts, at any entry, lost targets, unless the
   * diagnosis of these losses shows that it is poison.
   */
  private async sendAfterDiagnosis(): Promise<void> {
    const maySend = await this.poisonDetector.maySend();
    if (this.isOver) return;
    if (maySend) this.sendFirst();
    else this.refuse(RefusalReason.POISON);
  }

  /** Sends the call as soon as there is room for it at a target. */
  private sendFirst(): void {
    this.ctx.retryBudgets.recordFirstAttempt(this.work.service.name);
    this.turn.await({onSend: () => this.sendNow()});
  }

  /** Nothing was sent, as the entry holds the call back: it waits its turn. */
  private waitHeldBack(heldBackBy: Target): void {
    this.targets.recordHeldBack(heldBackBy);
    this.closeAttempt();
    this.turn.await({
      wasHeldBack: true,
      onSend: () => {
        this.log.recordRetry(RetryReason.HELD_BACK, heldBackBy);
        this.sendAgain({failure: ExchangeFailure.HELD_BACK});
      },
    });
  }

  /** Its turn will not come in time. */
  private refuseFull(retryAfterMs: number): void {
    if (this.mayHaveRun) this.fail(true);
    else this.refuse(RefusalReason.OVERLOADED, retryAfterMs);
  }

  private sendNow(): void {
    this.targets.withTarget((target) => {
      if (target === undefined) this.failUnsent();
      else this.send(target);
    });
  }

  /** No target may be used now: none is left, or none gives a permit. */
  private failUnsent(): void {
    const {ctx, work} = this;
    const {waitMs} = this.targets;
    if (!this.mayHaveRun && waitMs !== undefined) {
      const retryAfterMs = retryAfterMsOf(ctx, work, waitMs);
      this.refuse(RefusalReason.TARGET_LIMIT, retryAfterMs);
      return;
    }
    if (!this.mayHaveRun) this.log.recordNoTarget();
    this.fail(false);
  }

  private send(target: Target): void {
    const {ctx, work} = this;
    const {clock, client} = ctx;
    this.targets.recordTried(target);
    this.head = undefined;
    this.body.release();
    this.body = new ResponseBody(ctx);
    const leftMs = work.deadlineAtMs - clock.now();
    const scale = ServiceTime.scaleOf(target);
    const targetWork = target.begin({tokens: 0});
    const attempt: CallAttempt = {target, targetWork, scale};
    this.current = attempt;
    attempt.exchange = client.send({
      target: target.record,
      maxConnections: work.service.maxConnections,
      req: toTargetRequest({work, leftMs}),
      listener: this.boundary.guardListener(
        {
          onNotice: (notice) => recordNotice({ctx, target, notice}),
          onHead: (head) => {
            this.head = head;
            if (head.load !== undefined) target.recordLoad(head.load);
          },
          onData: (chunk) => this.onData(chunk),
          onComplete: () => this.onAttemptEnd({status: this.head!.status}),
          onFailure: (failure, detail) => this.onFailure(failure, detail),
        },
        () => this.lose(attempt),
      ),
    });
    attempt.timer = clock.schedule({
      delayMs: attemptTimeoutMs({work, leftMs, sentCount: this.sentCount}),
      run: () => this.onAttemptTimeout(),
    });
  }

  /**
   * Ends an attempt whose response could not be handled, as if it were not of
   * this request; returns false if the attempt has ended.
   */
  private lose(attempt: CallAttempt): boolean {
    if (this.current !== attempt) return false;
    attempt.exchange?.cancel();
    this.onFailure(ExchangeFailure.MISMATCHED_RESPONSE, UNREADABLE_DETAIL);
    return true;
  }

  private onData(chunk: Uint8Array): void {
    this.body.push(chunk);
    const {overflow} = this.body;
    if (overflow === undefined) return;
    this.current!.exchange?.cancel();
    this.onFailure(overflow.failure, overflow.detail);
  }

  private onAttemptTimeout(): void {
    const {current} = this;
    if (current === undefined) return;
    const run = (nextTarget: Target | undefined) => {
      if (this.current !== current) return;
      if (nextTarget !== undefined) this.replace(current, nextTarget);
      else if (this.targets.choose() !== undefined) this.awaitOther(current);
    };
    this.targets.withTarget(run, {isFree: true});
  }

  /** The other targets are full, so the slow one may still be the first. */
  private awaitOther(current: CallAttempt): void {
    current.timer = this.ctx.clock.schedule({
      delayMs: CALL_QUEUE_CHECK_MS,
      run: () => this.onAttemptTimeout(),
    });
  }

  /** Sends the call to another target in place of a slow one. */
  private replace(current: CallAttempt, nextTarget: Target): void {
    if (!this.takeRetry(RetryReason.CALL_SLOW)) return;
    this.recordWithdrawn(current);
    current.exchange?.cancel();
    current.target.recordFailure();
    this.closeAttempt();
    this.sentCount++;
    this.mayHaveRun = true;
    this.log.recordRetry(RetryReason.CALL_SLOW, current.target);
    this.send(nextTarget);
  }

  private onFailure(failure: ExchangeFailure, detail: string): void {
    const {target, targetWork} = this.current!;
    const startedMs = targetWork.startedAtMs;
    if (!certainlyDidNotRun(failure)) this.mayHaveRun = true;
    const isLost = failure === ExchangeFailure.BROKEN;
    if (isLost) this.poisonDetector.recordLoss({target, startedMs});
    this.log.recordFailedAttempt(target, failure, detail);
    recordTargetFailure(target, failure);
    if (failure === ExchangeFailure.HELD_BACK) this.waitHeldBack(target);
    else this.onAttemptEnd({failure});
  }

  private onAttemptEnd(result: AttemptResult): void {
    const {ctx, work} = this;
    const {target} = this.current!;
    recordOutcome(target, result);
    recordServiceTime({ctx, work, attempt: this.current!, result});
    if (result.failure === undefined) this.mayHaveRun = true;
    this.closeAttempt();
    if (countsAsSent(result.failure)) this.sentCount++;
    // An answer that is no failure is passed on, whatever targets there are.
    const isFailed = result.failure !== undefined || isTargetFailure(result);
    // With an answer at hand the call does not wait for a target that is full.
    const isFree = result.failure === undefined;
    const hasOtherTarget =
      isFailed && this.targets.choose({isFree}) !== undefined;
    const {operation, maxAttempts} = work.admitted.route;
    const reason = retryReasonOf(result.failure, RetryReason.CALL_LOST);
    const decision = decideRetry({
      operation,
      result,
      sentCount: this.sentCount,
      maxAttempts,
      hasOtherTarget,
      takeFromBudget: () => this.takeRetry(reason),
    });
    if (decision === RetryDecision.PASS_ON) {
      target.recordSuccess();
      this.forwardResponse();
    } else if (decision === RetryDecision.RETRY) {
      this.log.recordRetry(reason, target);
      this.sendAgain(result);
    } else {
      this.fail(false);
    }
  }

  private sendAgain(last: AttemptResult): void {
    if (this.poisonDetector.isSuspect())
      this.boundary.run(() => this.retryAfterDiagnosis());
    else this.retry(last);
  }

  /** Sends the call again; if no target may be used, its last result counts. */
  private retry(last: AttemptResult): void {
    const isFree = last.failure === undefined;
    const run = (target: Target | undefined) => {
      if (target !== undefined) this.send(target);
      else if (isFree) this.forwardResponse();
      else this.failUnsent();
    };
    this.targets.withTarget(run, {isFree});
  }

  /** Retries a call that lost several targets once the losses are diagnosed. */
  private async retryAfterDiagnosis(): Promise<void> {
    const mayRetry = await this.poisonDetector.mayRetry();
    if (this.isOver) return;
    if (!mayRetry) {
      this.fail(false);
      return;
    }
    this.sendNow();
  }

  private refuse(reason: RefusalReason, retryAfterMs?: number): void {
    this.stop();
    const {ctx, work} = this;
    refuseUnsent({ctx, work, reason, retryAfterMs});
  }

  private forwardResponse(): void {
    if (!isTargetFailure({status: this.head!.status}))
      this.poisonDetector.recordServed();
    const body = this.body.toBytes();
    this.stop();
    const ms = this.ctx.clock.now() - this.work.req.receivedMs;
    this.ctx.metrics.observe({name: LatencyName.PLAIN_CALL, ms});
    forwardResponse({res: this.work.res, head: this.head!, body});
  }

  private fail(isTimedOut: boolean): void {
    if (this.isOver) return;
    const {ctx, work, log, sentCount: sent} = this;
    const target = this.current?.target;
    const mayHaveRun = this.mayHaveRun || target !== undefined;
    this.abandon();
    sendFailure({ctx, work, log, sent, target, mayHaveRun, isTimedOut});
  }

  /** Ends the call with an answer, as if its deadline had passed. */
  expire(): void {
    this.boundary.run(() => this.fail(true));
  }

  /** Ends the call because its request was quarantined meanwhile. */
  private failAsPoison(): void {
    if (this.isOver) return;
    const isUnsent = !this.mayHaveRun && this.current === undefined;
    if (isUnsent) this.refuse(RefusalReason.POISON);
    else this.fail(false);
  }

  /**
   * Stops the call without sending a response. A caller that has disconnected
   * may retry at another entry.
   */
  private abandon(): void {
    const {current} = this;
    if (this.isOver) return;
    if (current !== undefined) this.recordWithdrawn(current);
    this.stop();
  }

  private recordWithdrawn({target, targetWork}: CallAttempt): void {
    this.poisonDetector.recordWithdrawn({
      target,
      startedMs: targetWork.startedAtMs,
    });
  }

  private stop(): void {
    this.isOver = true;
    this.turn.leave();
    this.body.release();
    this.onOver();
    this.poisonDetector.close();
    this.deadline?.cancel();
    this.current?.exchange?.cancel();
    this.closeAttempt();
  }

  /** Gives back what the call holds, at whichever point it has failed. */
  private release(): void {
    const {current} = this;
    this.isOver = true;
    runAll([
      () => this.turn.leave(),
      () => this.body.release(),
      () => this.onOver(),
      () => this.deadline?.cancel(),
      () => current?.exchange?.cancel(),
      () => this.closeAttempt(),
      () => {
        if (current !== undefined) this.recordWithdrawn(current);
      },
      () => this.poisonDetector.close(),
    ]);
  }

  private closeAttempt(): void {
    const {current} = this;
    if (current === undefined) return;
    this.current = undefined;
    current.target.end(current.targetWork);
    current.timer?.cancel();
    this.ctx.callQueues.drain(this.work.service.name);
  }

  private takeRetry(reason: RetryReason): boolean {
    const service = this.work.service.name;
    return this.ctx.retryBudgets.takeRetry({service, reason});
  }
}

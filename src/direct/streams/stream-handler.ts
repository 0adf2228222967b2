/** Handles one event stream, across several targets if targets are lost. */
import type {TimerHandle} from '../../core/clock/index.js';
import type {TargetResponseHead} from '../../core/edges/direct-target.js';
import {RefusalReason, RetryReason} from '../../core/errors/refusals.js';
import {showsHarmlessParts} from '../../core/poison/index.js';
import {
  toFailureResponse,
  isTargetFailure,
  promisesNotRun,
} from '../../core/retrying/index.js';
import type {RawEvent} from '../../core/streams/index.js';
import {
  EventSequence,
  SequenceCheck,
  toPosition,
} from '../../core/streams/index.js';
import {TaskName} from '../../core/supervision/index.js';
import type {Target} from '../../core/targets/index.js';
import {MAX_PROMPT_ATTEMPTS} from '../consts.js';
import type {DirectContext, DirectWork, RequestContext} from '../context.js';
import {forwardResponse} from '../forward-response.js';
import {PoisonDetector} from '../poison/index.js';
import {refuseUnsent} from '../refuse-unsent.js';
import {RequestBoundary, runAll} from '../request-boundary.js';
import type {ResumableCopy} from './kv-cache-replicator.js';
import {StreamDelivery} from './stream-delivery.js';
import {StreamLog} from './stream-log.js';
import type {Place} from './stream-placement.js';
import {StreamPlacement} from './stream-placement.js';
import {cannotMeetDeadline, recordGenerationTime} from './generation-time.js';
import {StreamAttempt} from './stream-attempt.js';
import type {TargetLoss} from './target-loss.js';
import {
  lostBeforeRun,
  mayBeCrash,
  mayBeOutage,
  wasHeldBack,
} from './target-loss.js';

/**
 * Handles one stream. Events are sent to the caller as they arrive. When a
 * target is lost, another target resumes after the last event.
 *
 * @example
 * new StreamHandler({ctx, work, onOver}).start();
 */
export class StreamHandler {
  private readonly ctx: RequestContext;
  private readonly boundary: RequestBoundary;
  private readonly work: DirectWork;
  private readonly onOver: () => void;
  private readonly sequence: EventSequence;
  private readonly delivery: StreamDelivery;
  private readonly placement: StreamPlacement;
  private readonly log: StreamLog;
  private readonly poisonDetector: PoisonDetector;
  private deadline?: TimerHandle;
  private current?: StreamAttempt;
  /** The KV cache copy of the lost attempt, if one can be used. */
  private resumableCopy?: ResumableCopy;
  private isOver = false;
  private hasClearedParts = false;
  /** Attempts that started from the prompt. */
  private promptAttempts = 0;
  /** All attempts, including those that resumed from a copy. */
  private attempts = 0;
  /** Whether a finished attempt may have run the request. */
  private mayHaveRun = false;

  constructor(options: {
    ctx: DirectContext;
    work: DirectWork;
    /** Called once when the stream is over. */
    onOver: () => void;
  }) {
    const {work} = options;
    this.work = work;
    this.onOver = options.onOver;
    this.boundary = new RequestBoundary({
      ...options,
      name: TaskName.STREAM,
      release: () => this.release(),
    });
    const {ctx} = this.boundary;
    this.ctx = ctx;
    this.delivery = new StreamDelivery({ctx, work});
    this.log = new StreamLog({ctx, work});
    this.placement = new StreamPlacement({
      ctx,
      work,
      log: this.log,
      listener: {
        send: (target, place) => this.send(target, place),
        refuse: (reason, afterMs) => this.refuse(reason, afterMs),
        onNoTarget: () => this.fail(false),
      },
      isolatedFingerprint: () =>
        this.poisonDetector.isSuspect()
          ? this.poisonDetector.fingerprint
          : undefined,
    });
    const {lastEventId} = work.req;
    this.sequence = new EventSequence({lastId: toPosition(lastEventId)});
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
    this.work.res.onDisconnect(this.boundary.guard(() => this.withdraw()));
    if (this.poisonDetector.isPoison()) {
      this.refuse(RefusalReason.POISON);
      return;
    }
    if (cannotMeetDeadline({ctx: this.ctx, work: this.work})) {
      this.refuse(RefusalReason.DEADLINE_UNREACHABLE);
      return;
    }
    this.ctx.retryBudgets.recordFirstAttempt(this.work.service.name);
    return this.poisonDetector.mayBePoison()
      ? this.placeAfterDiagnosis()
      : this.place();
  }

  /**
   * Places a stream whose earlier attempts, at any entry, lost targets, unless
   * the diagnosis of these losses shows that it is poison.
   */
  private async placeAfterDiagnosis(): Promise<void> {
    const maySend = await this.poisonDetector.maySend();
    if (this.isOver) return;
    if (maySend) await this.place();
    else this.refuse(RefusalReason.POISON);
  }

  private refuse(reason: RefusalReason, retryAfterMs?: number): void {
    this.stop();
    const {ctx, work} = this;
    refuseUnsent({ctx, work, reason, retryAfterMs});
  }

  private place(): Promise<void> {
    const {resumableCopy: copy} = this;
    this.resumableCopy = undefined;
    return this.placement.place({copy});
  }

  private send(target: Target, {copyFrom, reservation}: Place): void {
    const usesCopy = copyFrom !== undefined;
    this.attempts++;
    if (!usesCopy) this.promptAttempts++;
    const {placer} = this.placement;
    this.current = new StreamAttempt({
      ctx: this.ctx,
      work: this.work,
      target,
      chooseCopyHolder: () => placer.chooseCopyHolder(target),
      findCopyHolder: placer.looksForHolders
        ? () => placer.findCopyHolder(target)
        : undefined,
      tokens: placer.tokens,
      lastEventId: this.sequence.lastId,
      hasDelivered: this.delivery.hasStarted,
      copyFrom,
      reservation,
      listener: {
        onEvent: (head, event) => this.onEvent(head, event),
        onEventsPassed: () => this.writeEvents(),
        onEnd: (head) => this.finish(head),
        onOtherResponse: (head, body) => this.onOtherResponse(head, body),
        onLost: (loss) => this.onLost(loss),
      },
    });
    this.current.start();
    if (usesCopy || this.promptAttempts > 1)
      this.log.recordPlacement(this.current, placer.isIsolated);
  }

  /** Writes events; a caller that does not keep up holds its target back. */
  private writeEvents(): void {
    this.delivery.flush();
    const {current} = this;
    const {res} = this.work;
    if (current === undefined || !res.isCongested) return;
    current.pause();
    res.onceDrained(this.boundary.guard(() => current.resume()));
  }

  private onEvent(head: TargetResponseHead, event: RawEvent): void {
    if (!event.hasData) {
      this.delivery.writeEvent(head, event);
      return;
    }
    const result = this.sequence.check(event.id);
    if (result === SequenceCheck.PASS) {
      this.delivery.writeEvent(head, event);
      this.clearPromptParts();
    }
    if (result !== SequenceCheck.GAP) return;
    this.current?.cancel();
    const reason = RetryReason.ENGINE_DIED;
    this.onLost({reason, detail: `event ${event.id} is out of order`});
  }

  /** A target that goes on writing was not crashed by a prompt part. */
  private clearPromptParts(): void {
    if (this.hasClearedParts || this.current === undefined) return;
    const {writingMs, eventCount: events} = this.current;
    if (!showsHarmlessParts({writingMs, events})) return;
    this.hasClearedParts = true;
    this.poisonDetector.recordWriting();
  }

  private finish(head: TargetResponseHead): void {
    const {ctx, work} = this;
    // After several attempts, the request may have crashed earlier targets.
    if (this.attempts === 1) this.poisonDetector.recordServed();
    this.stop();
    const {firstEventMs} = this.delivery;
    const {count: events} = this.sequence;
    if (this.promptAttempts <= 1)
      recordGenerationTime({ctx, work, events, firstEventMs});
    this.delivery.finish(head);
  }

  private onOtherResponse(head: TargetResponseHead, body: Uint8Array): void {
    const {isResumable} = this.work.admitted.route;
    const isFailure =
      isTargetFailure(head) || (!isResumable && promisesNotRun(head.status));
    if (isFailure || this.delivery.hasStarted) {
      const reason = RetryReason.TARGET_REFUSED;
      this.mayHaveRun = true;
      this.onLost({reason, detail: `status ${head.status}`});
      return;
    }
    this.stop();
    forwardResponse({res: this.work.res, head, body});
  }

  /** The current target is lost: resumes at another one if allowed. */
  private onLost(loss: TargetLoss): void {
    const lost = this.current;
    if (lost === undefined || this.isOver) return;
    this.current = undefined;
    this.log.recordLoss(lost, loss, this.sequence.count);
    const {reason} = loss;
    if (wasHeldBack(loss)) this.uncount(lost);
    if (!lostBeforeRun(loss)) this.mayHaveRun = true;
    this.placement.recordLoss(lost.target, loss);
    if (mayBeCrash(loss)) this.poisonDetector.recordLoss(lost);
    if (mayBeOutage(loss)) this.placement.placer.avoidDataCentreOf(lost.target);
    if (!this.mayResume(reason, lost.eventCount > 0)) {
      this.fail(false);
      return;
    }
    this.resumableCopy = lost.resumableCopy;
    this.ctx.metrics.countRetry(reason);
    this.delivery.markResumed();
    const mustDiagnose = mayBeCrash(loss) && this.poisonDetector.isSuspect();
    this.boundary.run(() =>
      mustDiagnose ? this.resumeAfterDiagnosis() : this.place(),
    );
  }

  /** The entry itself held an attempt back, so it was none. */
  private uncount({usesCopy}: StreamAttempt): void {
    this.attempts--;
    if (!usesCopy) this.promptAttempts--;
  }

  /** Resumes a stream that lost several targets after their diagnosis. */
  private async resumeAfterDiagnosis(): Promise<void> {
    const maySend = await this.poisonDetector.mayRetry();
    if (this.isOver) return;
    if (maySend) await this.place();
    else this.fail(false);
  }

  private mayResume(reason: RetryReason, hadOutput: boolean): boolean {
    const {isResumable} = this.work.admitted.route;
    const canResume = isResumable && this.sequence.isResumable;
    if (this.mayHaveRun && !canResume) return false;
    if (
      this.promptAttempts >= MAX_PROMPT_ATTEMPTS ||
      this.poisonDetector.isPoison()
    )
      return false;
    const service = this.work.service.name;
    return this.ctx.retryBudgets.takeRetry({service, reason, hadOutput});
  }

  private fail(isTimedOut: boolean): void {
    if (this.isOver) return;
    const {hasStarted} = this.delivery;
    const mayHaveRun =
      this.mayHaveRun || this.current !== undefined || hasStarted;
    const target = this.current?.target;
    this.abandon();
    const {status, reason} = toFailureResponse({mayHaveRun, isTimedOut});
    this.ctx.metrics.countRefusal(reason);
    const {count: events} = this.sequence;
    const tries = this.promptAttempts;
    this.log.recordFailure({status, reason, events, tries, target});
    if (hasStarted) {
      this.delivery.flush();
      this.work.res.abort();
      return;
    }
    const retryAfterMs = mayHaveRun ? undefined : this.placement.retryAfterMs;
    this.work.res.sendRefusal({status, reason, retryAfterMs});
  }

  /** Ends a stream that has not begun with an answer. */
  expire(): void {
    if (!this.delivery.hasStarted) this.fail(true);
  }

  /** Ends the stream because its request was quarantined meanwhile. */
  private failAsPoison(): void {
    if (this.isOver) return;
    const isUnsent = !this.mayHaveRun && this.current === undefined;
    if (isUnsent) this.refuse(RefusalReason.POISON);
    else this.fail(false);
  }

  private withdraw(): void {
    if (!this.isOver && this.attempts > 0) this.log.recordCallerLeft();
    this.abandon();
  }

  /**
   * Stops the stream without ending the response. A caller that has
   * disconnected may retry at another entry.
   */
  private abandon(): void {
    const {current} = this;
    if (this.isOver) return;
    if (current !== undefined) this.poisonDetector.recordWithdrawn(current);
    this.stop();
  }

  private stop(): void {
    this.isOver = true;
    this.onOver();
    this.placement.close({isSent: this.current !== undefined});
    this.poisonDetector.close();
    this.deadline?.cancel();
    this.current?.cancel();
    this.current = undefined;
  }

  /** Gives back what the stream holds, at whichever point it has failed. */
  private release(): void {
    const {current} = this;
    this.isOver = true;
    this.current = undefined;
    runAll([
      () => this.onOver(),
      () => this.placement.close({isSent: current !== undefined}),
      () => this.deadline?.cancel(),
      () => current?.release(),
      () => {
        if (current !== undefined) this.poisonDetector.recordWithdrawn(current);
      },
      () => this.poisonDetector.close(),
    ]);
  }
}

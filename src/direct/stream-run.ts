/** Runs one event stream, across as many targets as it takes. */
import type {TimerHandle} from '../core/clock/index.js';
import type {AnswerHead, Exchange} from '../core/edges/direct-target.js';
import {ExchangeFailure} from '../core/edges/direct-target.js';
import {RefusalReason, RetryReason} from '../core/errors/refusals.js';
import {chooseEngine, shortlistEngines} from '../core/placing/index.js';
import type {EngineChoice} from '../core/placing/index.js';
import {answerFailure, certainlyDidNotRun} from '../core/retrying/index.js';
import {
  EventSequence,
  EventSplitter,
  EventVerdict,
  stallLimitMs,
  suspectLimitMs,
  toPosition,
} from '../core/streams/index.js';
import type {RawEvent} from '../core/streams/index.js';
import type {Target, TargetWork} from '../core/targets/index.js';
import {
  COPY_ANSWER_MS,
  DOUBT_MS,
  EVENTS_BEFORE_COPY,
  LEAVING_WORK_MS,
  MAX_STREAM_TRIES,
  READING_CHECK_MS,
  RETURN_AFTER_MS,
  SHORTLIST,
  STREAM_PAUSE_MS,
} from './consts.js';
import type {DirectContext, DirectWork} from './context.js';
import {noteFailureAt} from './note-failure.js';
import {needOf} from './stream-times.js';
import {toTargetRequest} from './target-request.js';

const OK = 200;
const FIRST_FAILURE_STATUS = 500;

const REASONS: Readonly<Record<ExchangeFailure, RetryReason>> = {
  [ExchangeFailure.NOT_SENT]: RetryReason.NOT_SENT,
  [ExchangeFailure.REJECTED]: RetryReason.TARGET_REFUSED,
  [ExchangeFailure.WRONG_TARGET]: RetryReason.TARGET_REFUSED,
  [ExchangeFailure.BROKEN]: RetryReason.ENGINE_DIED,
  [ExchangeFailure.FOREIGN_ANSWER]: RetryReason.ENGINE_DIED,
};

/** A try under way. */
interface StreamTry {
  readonly target: Target;
  readonly work: TargetWork;
  readonly exchange: Exchange;
  readonly splitter: EventSplitter;
  /** Where the run's memory is copied to. */
  readonly copy?: Target;
  head?: AnswerHead;
  /** Bytes of an answer that is no stream. */
  readonly body: Uint8Array[];
  events: number;
  lastEventMs: number;
  widestGapMs: number;
}

/**
 * One stream. Its events go to the caller as they come; when a target is
 * lost, another goes on after the last one.
 *
 * @example
 * new StreamRun({ctx, work}).start();
 */
export class StreamRun {
  private readonly ctx: DirectContext;
  private readonly work: DirectWork;
  private readonly sequence: EventSequence;
  private readonly tokens: number;
  private readonly deadline: TimerHandle;
  private readonly excluded = new Set<string>();
  /** Data centres in which this stream has just lost a target. */
  private readonly doubtful = new Set<string>();
  private watchdog?: TimerHandle;
  private pause?: TimerHandle;
  private current?: StreamTry;
  /** Holds a copy of what the lost run had in memory. */
  private copyHolder?: Target;
  private isOpen = false;
  private isOver = false;
  private tries = 0;
  private mayHaveRun = false;
  private firstEventMs = 0;
  private longestPauseMs = 0;
  private lastWrittenMs?: number;

  constructor(options: {ctx: DirectContext; work: DirectWork}) {
    this.ctx = options.ctx;
    this.work = options.work;
    const {clock} = this.ctx;
    const {generation, lastEventId} = this.work.req;
    this.sequence = new EventSequence({lastId: toPosition(lastEventId)});
    this.tokens =
      (generation?.promptTokens ?? 0) + (generation?.maxOutputTokens ?? 0);
    this.deadline = clock.schedule({
      delayMs: Math.max(0, this.work.endMs - clock.now()),
      run: () => this.giveUp(true),
    });
    this.work.res.onGone(() => this.stop());
  }

  start(): void {
    if (this.isHopeless()) {
      this.refuse(RefusalReason.DEADLINE_UNREACHABLE);
      return;
    }
    this.budget().noteFirstTry();
    this.place();
  }

  /** Whether the time left is too short for any engine. */
  private isHopeless(): boolean {
    const {req, service, endMs} = this.work;
    const need = needOf(req, service);
    if (need === undefined) return false;
    const leftMs = endMs - this.ctx.clock.now();
    return this.ctx.streamTimes.of(service.name).isHopeless({need, leftMs});
  }

  private refuse(reason: RefusalReason): void {
    this.stop();
    this.ctx.metrics.countRefusal(reason);
    this.ctx.logger.info('refused', {
      id: this.work.req.attemptId,
      status: 503,
      reason,
      leftMs: Math.round(this.work.endMs - this.ctx.clock.now()),
    });
    this.work.res.sendOwn({status: 503, reason});
  }

  private learnTimes(): void {
    const {req, service} = this.work;
    const need = needOf(req, service);
    if (need === undefined || need.hasEvents > 0 || this.tries > 1) return;
    const takenMs = this.ctx.clock.now() - req.receivedMs;
    this.ctx.streamTimes.of(service.name).learn({
      ...need,
      events: this.sequence.count,
      firstEventMs: this.firstEventMs,
      writingMs: takenMs - this.firstEventMs,
    });
  }

  private place(): void {
    const {copyHolder} = this;
    if (copyHolder !== undefined && isReachable(copyHolder)) {
      this.send(copyHolder, copyHolder.record.address);
      return;
    }
    if (copyHolder !== undefined) this.noteCopyLost(copyHolder);
    this.copyHolder = undefined;
    void this.placeAnew();
  }

  /** Asks the best engines for their load, then takes the best of them. */
  private async placeAnew(): Promise<void> {
    const candidates = shortlistEngines(this.choice(), SHORTLIST);
    await this.ctx.prober.refresh(candidates);
    if (this.isOver) return;
    const target = chooseEngine({...this.choice(), targets: candidates});
    if (target === undefined || !isUsable(target)) this.wait();
    else this.send(target);
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

  private notePlaced(current: StreamTry, usesCopy: boolean): void {
    const {target, copy} = current;
    this.ctx.logger.info('stream goes on', {
      id: this.work.req.attemptId,
      target: target.id,
      dataCentre: target.record.dataCentre,
      requests: target.estimatedRequests(),
      reading: target.reading,
      usesCopy,
      copyAt: copy?.record.dataCentre,
    });
  }

  private wait(): void {
    this.excluded.clear();
    this.pause = this.ctx.clock.schedule({
      delayMs: STREAM_PAUSE_MS,
      run: () => this.place(),
    });
  }

  private send(target: Target, copyFrom?: string): void {
    const {ctx, work} = this;
    const {clock} = ctx;
    const copy = this.chooseCopy(target);
    const targetWork = target.begin({tokens: this.tokens});
    copy?.addCopy(this.tokens);
    const exchange = ctx.client.send({
      target: target.record,
      maxConnections: work.service.maxConnections,
      req: toTargetRequest({
        work,
        leftMs: work.endMs - clock.now(),
        lastEventId: this.sequence.lastId?.toString(),
        copyTo: copy?.record.address,
        copyFrom,
      }),
      listener: {
        onHead: (head) => this.onHead(head),
        onData: (chunk) => this.onData(chunk),
        onComplete: () => this.onComplete(),
        onFailure: (failure, detail) => this.onFailure(failure, detail),
      },
    });
    if (copyFrom === undefined) this.tries++;
    this.copyHolder = undefined;
    this.current = {
      target,
      work: targetWork,
      exchange,
      copy,
      splitter: new EventSplitter(),
      body: [],
      events: 0,
      lastEventMs: clock.now(),
      widestGapMs: 0,
    };
    const checkMs = copyFrom === undefined ? READING_CHECK_MS : COPY_ANSWER_MS;
    this.watchReading(this.current, checkMs);
    if (this.tries > 1 || copyFrom !== undefined) {
      this.notePlaced(this.current, copyFrom !== undefined);
    }
  }

  private onHead(head: AnswerHead): void {
    const {current} = this;
    if (current === undefined) return;
    current.head = head;
    if (head.load !== undefined) current.target.noteLoad(head.load);
  }

  private onData(chunk: Uint8Array): void {
    const {current} = this;
    if (current?.head === undefined) return;
    if (current.head.status !== OK) {
      current.body.push(chunk);
      return;
    }
    for (const event of current.splitter.push(chunk)) {
      if (this.current !== current) return;
      this.onEvent(current, event);
    }
  }

  private onEvent(current: StreamTry, event: RawEvent): void {
    const verdict = this.sequence.judge(event.id);
    if (verdict === EventVerdict.GAP) {
      this.lose(RetryReason.ENGINE_DIED, `event ${event.id} out of order`);
      return;
    }
    this.noteEvent(current);
    if (verdict === EventVerdict.SKIP) return;
    if (!this.isOpen) {
      this.isOpen = true;
      this.work.res.open(current.head!);
    }
    this.work.res.write(event.bytes);
    this.notePause();
  }

  /** Measures the pauses that the caller sees. */
  private notePause(): void {
    const nowMs = this.ctx.clock.now();
    if (this.lastWrittenMs === undefined) {
      this.firstEventMs = nowMs - this.work.req.receivedMs;
    } else {
      const pauseMs = nowMs - this.lastWrittenMs;
      this.longestPauseMs = Math.max(this.longestPauseMs, pauseMs);
    }
    this.lastWrittenMs = nowMs;
  }

  private noteLate(): void {
    const {objectiveMs, maxPauseMs = Infinity} = this.work.admitted.route;
    const isOnTime =
      this.firstEventMs <= objectiveMs && this.longestPauseMs <= maxPauseMs;
    if (isOnTime) return;
    this.ctx.logger.info('stream was late', {
      id: this.work.req.attemptId,
      firstEventMs: Math.round(this.firstEventMs),
      longestPauseMs: Math.round(this.longestPauseMs),
      tries: this.tries,
    });
  }

  private noteEvent(current: StreamTry): void {
    const nowMs = this.ctx.clock.now();
    if (current.events > 0) {
      const gapMs = nowMs - current.lastEventMs;
      current.target.noteGap(gapMs);
      current.widestGapMs = Math.max(current.widestGapMs * 0.98, gapMs);
    }
    current.events++;
    current.lastEventMs = nowMs;
    current.work.isReading = false;
    current.target.noteSeen();
    if (current.events === 1) this.watchdog?.cancel();
    if (current.events === 1 || this.watchdog === undefined) {
      this.watchSilence();
    }
  }

  /** Asks a target now and then whether it is there, until it writes. */
  private watchReading(current: StreamTry, checkMs: number): void {
    if (!this.work.admitted.route.isResumable) return;
    this.watchdog = this.ctx.clock.schedule({
      delayMs: checkMs,
      run: () => {
        this.watchdog = undefined;
        void this.checkReading(current);
      },
    });
  }

  private async checkReading(current: StreamTry): Promise<void> {
    const isAlive = await this.ctx.prober.isAlive(current.target);
    if (this.current !== current || current.events > 0) return;
    if (isAlive) this.watchReading(current, READING_CHECK_MS);
    else this.loseSilent(current);
  }

  /** Looks into a silence when it has become long for this target. */
  private watchSilence(): void {
    const {current} = this;
    if (current === undefined || !this.work.admitted.route.isResumable) return;
    const limitMs = suspectLimitMs(this.silenceFacts(current));
    const silentMs = this.silenceOf(current);
    if (silentMs >= limitMs) {
      this.watchdog = undefined;
      void this.lookInto(current);
      return;
    }
    this.watchdog = this.ctx.clock.schedule({
      delayMs: limitMs - silentMs,
      run: () => this.watchSilence(),
    });
  }

  private async lookInto(suspect: StreamTry): Promise<void> {
    const isAlive = await this.ctx.prober.isAlive(suspect.target);
    if (this.current !== suspect) return;
    if (!isAlive) this.loseSilent(suspect);
    else this.awaitStall(suspect);
  }

  /** The target is there, but it writes nothing. */
  private awaitStall(suspect: StreamTry): void {
    if (this.current !== suspect || this.watchdog !== undefined) return;
    const leftMs =
      stallLimitMs(this.silenceFacts(suspect)) - this.silenceOf(suspect);
    if (leftMs <= 0) {
      this.loseSilent(suspect);
      return;
    }
    const {events} = suspect;
    this.watchdog = this.ctx.clock.schedule({
      delayMs: leftMs,
      run: () => {
        this.watchdog = undefined;
        if (this.current !== suspect) return;
        if (suspect.events > events) this.watchSilence();
        else this.awaitStall(suspect);
      },
    });
  }

  private loseSilent(suspect: StreamTry): void {
    suspect.target.noteFailure();
    const silentMs = Math.round(this.silenceOf(suspect));
    this.lose(RetryReason.ENGINE_STALLED, `silent for ${silentMs} ms`);
  }

  private silenceOf(current: StreamTry): number {
    return this.ctx.clock.now() - current.lastEventMs;
  }

  private silenceFacts(current: StreamTry) {
    const {maxPauseMs} = this.work.admitted.route;
    return {maxPauseMs, widestGapMs: current.widestGapMs};
  }

  private onComplete(): void {
    const {current} = this;
    if (current?.head === undefined) return;
    const {head, splitter, target} = current;
    if (head.status !== OK) {
      this.onPlainAnswer(current, head);
      return;
    }
    if (splitter.pendingBytes > 0) {
      this.lose(RetryReason.ENGINE_DIED, 'ended within an event');
      return;
    }
    target.noteSuccess();
    this.stop();
    this.learnTimes();
    this.noteLate();
    if (!this.isOpen) this.work.res.open(head);
    this.work.res.end();
  }

  private onPlainAnswer(current: StreamTry, head: AnswerHead): void {
    if (head.status >= FIRST_FAILURE_STATUS || this.isOpen) {
      this.lose(RetryReason.TARGET_REFUSED, `status ${head.status}`);
      return;
    }
    this.stop();
    this.work.res.sendWhole(head, Buffer.concat(current.body));
  }

  private onFailure(failure: ExchangeFailure, detail: string): void {
    const {current} = this;
    if (current === undefined) return;
    noteFailureAt(current.target, failure);
    this.ctx.prober.sweepAround(current.target);
    if (!certainlyDidNotRun(failure)) this.mayHaveRun = true;
    else this.excluded.add(current.target.id);
    this.lose(REASONS[failure], `${failure}: ${detail}`);
  }

  /** The present target is of no more use: another goes on, if it may. */
  private lose(reason: RetryReason, detail: string): void {
    const {current} = this;
    if (current === undefined) return;
    current.exchange.cancel();
    this.closeTry();
    if (reason !== RetryReason.TARGET_REFUSED) this.doubt(current.target);
    const {isResumable} = this.work.admitted.route;
    this.ctx.logger.info('stream lost its target', {
      id: this.work.req.attemptId,
      target: current.target.id,
      copy: current.copy?.id,
      events: this.sequence.count,
      reason,
      detail,
    });
    const mayGoOn = isResumable && this.sequence.isResumable;
    const hasTries = this.tries < MAX_STREAM_TRIES;
    if ((this.mayHaveRun && !mayGoOn) || !hasTries) {
      this.giveUp(false);
      return;
    }
    if (reason !== RetryReason.NOT_SENT && !this.budget().tryRetry()) {
      this.giveUp(false);
      return;
    }
    this.copyHolder = this.copyLeftBy(current);
    this.ctx.metrics.countRetry(reason);
    this.place();
  }

  /** Data centres fail as a whole: none that was just lost is chosen. */
  private doubt(lost: Target): void {
    const {dataCentre} = lost.record;
    this.doubtful.add(dataCentre);
    this.ctx.clock.schedule({
      delayMs: DOUBT_MS,
      run: () => void this.doubtful.delete(dataCentre),
    });
  }

  /** The target that may hold a copy of a lost run's memory. */
  private copyLeftBy(lost: StreamTry): Target | undefined {
    return lost.events >= EVENTS_BEFORE_COPY ? lost.copy : undefined;
  }

  private giveUp(isTimedOut: boolean): void {
    if (this.isOver) return;
    const mayHaveRun =
      this.mayHaveRun || this.current !== undefined || this.isOpen;
    this.stop();
    const {status, reason} = answerFailure({mayHaveRun, isTimedOut});
    this.ctx.metrics.countRefusal(reason);
    this.ctx.logger.info('stream given up', {
      id: this.work.req.attemptId,
      status,
      reason,
      events: this.sequence.count,
      tries: this.tries,
    });
    if (this.isOpen) {
      this.work.res.abort();
      return;
    }
    const retryAfterMs = mayHaveRun ? undefined : RETURN_AFTER_MS;
    this.work.res.sendOwn({status, reason, retryAfterMs});
  }

  private stop(): void {
    this.isOver = true;
    this.deadline.cancel();
    this.pause?.cancel();
    this.current?.exchange.cancel();
    this.closeTry();
  }

  private closeTry(): void {
    this.watchdog?.cancel();
    this.watchdog = undefined;
    const {current} = this;
    if (current === undefined) return;
    current.target.end(current.work);
    current.copy?.removeCopy(this.tokens);
    this.current = undefined;
  }

  private choice(): EngineChoice {
    const {ctx, work, tokens} = this;
    return {
      targets: ctx.targets.ofService(work.service.name),
      tokens,
      memoryTokens: work.service.engine?.memoryTokens ?? Infinity,
      excluded: this.excluded,
      avoided: this.doubtful,
      random: ctx.random,
    };
  }

  private chooseCopy(runner: Target): Target | undefined {
    const {engine} = this.work.service;
    const {isResumable} = this.work.admitted.route;
    if (engine === undefined || !engine.canCopy || !isResumable) {
      return undefined;
    }
    return chooseEngine({
      ...this.choice(),
      excluded: new Set([runner.id]),
      avoided: new Set([...this.doubtful, runner.record.dataCentre]),
      isSeenLately: true,
    });
  }

  private budget() {
    const {name} = this.work.service;
    return this.ctx.budgets.of({name, retryRatio: this.ctx.retryRatio});
  }
}

/** A target that began to leave a moment ago still takes what it knows. */
function isReachable(target: Target): boolean {
  const leavingForMs = target.leavingForMs() ?? 0;
  return leavingForMs < LEAVING_WORK_MS && !target.isPaused();
}

function isUsable(target: Target): boolean {
  return !target.record.isLeaving && !target.isPaused();
}

/** Runs one generation to its end, over as many attempts as needed. */
import type {TimerHandle} from '../../core/clock/index.js';
import type {Refusal} from '../../core/errors/index.js';
import {RefusalReason, RetryReason} from '../../core/errors/index.js';
import type {Step} from '../../core/generation/index.js';
import {
  Assembly,
  LogState,
  detectFinish,
  StepKind,
} from '../../core/generation/index.js';
import {CounterName} from '../../core/metrics/index.js';
import type {QuarantineRecord} from '../../core/poison/index.js';
import type {
  EndMessage,
  FailedMessage,
  LineageMessage,
  RefusedMessage,
  TokensMessage,
} from '../../core/protocol/index.js';
import type {Guard} from '../links/guard-handler.js';
import {guardHandler} from '../links/guard-handler.js';
import type {LinkHandler} from '../links/link-handler.js';
import type {OutputBuffer} from './output-buffer.js';
import {NO_TARGET_RETRY_MS} from '../consts.js';
import {AttemptHistory} from './attempt-history.js';
import type {ChooseTargetOptions} from './choose-target.js';
import {chooseIdleTarget, chooseTarget, createChoice} from './choose-target.js';
import {MIGRATION_RETRY_MS} from './consts.js';
import * as refusals from './run-refusals.js';
import type {
  OutputSource,
  OpenAttempt,
  GenerationTask,
  GenerationDeps,
} from './run-types.js';
import {
  cancelAttempt,
  createAttach,
  createAttempt,
  createStart,
  readTokens,
} from './attempt-messages.js';
import {createRunGuard} from './run-guard.js';
import {finalRefusal} from './final-refusal.js';
import {TargetOutcomes} from './target-outcomes.js';
import {TokenMeter} from './token-meter.js';

export type {GenerationTask, GenerationDeps} from './run-types.js';

/** Starts attempts, appends their tokens in order and replaces lost ones. */
export class GenerationRun {
  private current: OpenAttempt | undefined;
  /** A second attempt beside a silent one; the first to respond is kept. */
  private hedge: OpenAttempt | undefined;
  /** Sources of the output so far that have not been tried yet. */
  private sources: OutputSource[] = [];
  private readonly assembly: Assembly;
  private readonly history: AttemptHistory;
  /** Whether part of the generation may have run. */
  private mayHaveRun = false;
  private retryTimer: TimerHandle | undefined;
  private readonly deadlineTimer: TimerHandle;
  private readonly meter: TokenMeter;
  private readonly outcomes: TargetOutcomes;
  private readonly guard: Guard;

  constructor(
    private readonly task: GenerationTask,
    private readonly output: OutputBuffer,
    private readonly deps: GenerationDeps,
    private readonly onDone: () => void,
  ) {
    const {clock} = deps;
    const {spec} = task;
    this.assembly = new Assembly({log: output.log, spec});
    this.history = new AttemptHistory({now: () => clock.now()});
    this.meter = new TokenMeter(deps);
    this.outcomes = new TargetOutcomes(deps.failures);
    const steps = [() => this.cancelAttempts(), () => this.finish()];
    this.guard = createRunGuard({task, deps, output, steps});
    this.deadlineTimer = clock.schedule({
      delayMs: Math.max(0, task.deadlineAtMs - clock.now()),
      run: () =>
        this.guard(() => this.fail(refusals.deadlineExceeded(this.mayHaveRun))),
    });
  }

  /** Starts the first attempt, or the next one after a wait. */
  start(): void {
    this.guard(() => this.startNext());
  }

  private startNext(): void {
    if (this.isEnded() || this.finishIfComplete()) return;
    const target = chooseTarget(this.createChoice());
    const attempt = target && createAttempt(target, this.deps);
    if (attempt === undefined) {
      this.waitForTarget();
      return;
    }
    this.beginAttempt(attempt);
    const {attemptId} = attempt.location;
    if (!this.sendStart(attempt))
      this.handleLost(attemptId, RetryReason.AGENT_GONE);
  }

  /** Resumes an output from the first usable source, or else starts over. */
  resumeFrom(sources: readonly OutputSource[]): void {
    this.sources = [...sources];
    this.guard(() => this.attachToNextSource());
  }

  /** Ends the run because its output is no longer needed. */
  abandon(): void {
    this.guard(() => this.end(refusals.outputDiscarded()));
  }

  /** Handles a request that was just quarantined, which may be this one. */
  handlePoisonRequest(
    poisonFingerprint: string,
    record: QuarantineRecord,
  ): void {
    this.guard(() => {
      if (poisonFingerprint === this.task.poisonFingerprint)
        this.fail(refusals.poisonRequestDetected());
      else this.history.removeExplainedCrashes(record);
    });
  }

  private attachToNextSource(): void {
    const source = this.sources.shift();
    if (source === undefined) {
      // No source has the tokens that the caller received. It must discard
      // them, because the tokens of another attempt may differ.
      this.output.restartReadersAhead();
      this.startNext();
      return;
    }
    const {link, location, position} = source;
    const {attemptId} = location;
    this.current = source;
    this.mayHaveRun = true;
    this.output.resetLineage(location);
    this.assembly.begin(attemptId);
    const message = createAttach(this.task, {attemptId, position});
    const handler = this.createHandler(attemptId);
    const opened = link.open({id: attemptId, message, handler});
    if (!opened) this.handleLost(attemptId, RetryReason.AGENT_GONE);
  }

  private beginAttempt(attempt: OpenAttempt): void {
    this.current = attempt;
    this.output.beginAttempt(attempt.location);
    this.assembly.begin(attempt.location.attemptId);
  }

  private sendStart({link, location}: OpenAttempt): boolean {
    const {attemptId} = location;
    const message = createStart(this.task, {
      attemptId,
      resumeFrom: this.output.log.slice({from: 0}),
      deadlineMs: this.task.deadlineAtMs - this.deps.clock.now(),
      crashes: this.history.crashes,
      mayShare: this.history.mayShare(),
    });
    const handler = this.createHandler(attemptId);
    const opened = link.open({id: attemptId, message, handler});
    this.mayHaveRun ||= opened;
    this.meter.recordPlacement();
    return opened;
  }

  private createHandler(attemptId: string): LinkHandler {
    const handler: LinkHandler = {
      onTokens: (message) => this.handleTokens(attemptId, message),
      onLineage: (message) => this.handleLineage(attemptId, message),
      onEnd: (message) => this.handleEnd(attemptId, message),
      onFailed: (message) => this.handleFailed(attemptId, message),
      onRefused: (message) => this.handleRefused(attemptId, message),
      onLost: (reason) => this.handleLost(attemptId, reason),
      onDraining: () => this.migrate(attemptId),
      onHedgeDue: () => this.startHedge(attemptId),
    };
    return guardHandler(handler, this.guard);
  }

  private handleTokens(attemptId: string, message: TokensMessage): void {
    const tokens = readTokens(message);
    const {position} = message;
    const isNew = position + tokens.length > this.output.log.length;
    if (isNew && this.isHedge(attemptId)) this.promoteHedge();
    const step = this.assembly.receiveTokens({attemptId, position, tokens});
    this.applyStep(attemptId, step, RetryReason.ENGINE_DIED);
    if (step.kind === StepKind.IGNORED && tokens.length > 0) {
      this.deps.metrics.count(CounterName.TOKENS_DROPPED);
    }
  }

  private handleLineage(attemptId: string, message: LineageMessage): void {
    if (attemptId !== this.assembly.attemptId) return;
    this.output.applyLineage(message);
  }

  private handleEnd(attemptId: string, message: EndMessage): void {
    if (this.isHedge(attemptId)) this.promoteHedge();
    const {length, finishReason} = message;
    const step = this.assembly.receiveEnd({attemptId, length, finishReason});
    this.applyStep(attemptId, step, RetryReason.END_EARLY);
  }

  private applyStep(attemptId: string, step: Step, reason: RetryReason): void {
    switch (step.kind) {
      case StepKind.APPENDED:
        this.recordTokens(step.appended);
        return;
      case StepKind.FINISHED:
        this.cancelHedge();
        this.finish();
        return;
      case StepKind.BROKEN:
        this.handleLost(attemptId, reason);
        return;
      case StepKind.UNCONFIRMED:
        this.handleLost(attemptId, RetryReason.END_UNCONFIRMED);
        return;
      case StepKind.IGNORED:
        return;
    }
  }

  private recordTokens(count: number): void {
    this.meter.recordTokens(count);
    this.outcomes.record(this.current, false);
    this.cancelHedge();
    this.history.recordProgress();
  }

  private handleFailed(attemptId: string, message: FailedMessage): void {
    const {crashId, isCulprit, reason} = message;
    if (!this.isHedge(attemptId)) this.outcomes.record(this.current, true);
    this.history.recordCrash(crashId);
    if (isCulprit === true) {
      this.quarantineRequest();
      return;
    }
    this.handleLost(attemptId, reason);
  }

  private quarantineRequest(): void {
    const {clientAccount, poisonFingerprint} = this.task;
    const record = {clientAccount, crashes: this.history.crashes};
    this.fail(refusals.poisonRequestDetected());
    this.deps.quarantine.add({fingerprint: poisonFingerprint, record});
  }

  private handleRefused(attemptId: string, message: RefusedMessage): void {
    if (this.isHedge(attemptId)) {
      this.cancelHedge();
      return;
    }
    if (attemptId !== this.assembly.attemptId) return;
    if (message.reason === RefusalReason.POISON) return this.fail(message);
    if (this.output.hasReaderAhead()) {
      this.handleLost(attemptId, RetryReason.TARGET_REFUSED);
      return;
    }
    const {task, deps, history, output} = this;
    history.recordRefusal(this.current?.link.vm);
    const hasBegun = output.log.length > 0 || history.hasLostAttempt;
    const hasOther = () => chooseTarget(this.createChoice()) !== undefined;
    const refusal = finalRefusal({message, task, deps, hasBegun, hasOther});
    if (refusal !== undefined) {
      this.fail(refusal);
      return;
    }
    this.deps.metrics.countRetry(RetryReason.TARGET_REFUSED);
    this.cancelCurrent();
    this.startNext();
  }

  private handleLost(attemptId: string, reason: RetryReason): void {
    if (this.isEnded()) return;
    if (this.isHedge(attemptId)) {
      this.cancelHedge();
      return;
    }
    if (attemptId !== this.assembly.attemptId) return;
    this.deps.metrics.countRetry(reason);
    this.meter.recordLoss();
    this.history.recordLoss(this.current?.link.vm);
    if (this.hedge !== undefined) {
      this.promoteHedge();
      return;
    }
    this.cancelCurrent();
    if (this.output.hasReaderAhead()) {
      this.attachToNextSource();
      return;
    }
    if (this.history.isAttemptLimitReached()) {
      this.fail(refusals.tooManyAttempts(this.history.attemptsWithoutProgress));
      return;
    }
    this.startNext();
  }

  /** Moves the generation off a draining target once another is usable. */
  private migrate(attemptId: string): void {
    if (this.isEnded() || attemptId !== this.assembly.attemptId) return;
    if (chooseTarget(this.createChoice()) !== undefined) {
      this.handleLost(attemptId, RetryReason.TARGET_LEAVING);
      return;
    }
    this.retryTimer = this.deps.clock.schedule({
      delayMs: MIGRATION_RETRY_MS,
      run: () => this.guard(() => this.migrate(attemptId)),
    });
  }

  private startHedge(attemptId: string): void {
    if (this.isEnded() || this.hedge !== undefined) return;
    if (attemptId !== this.assembly.attemptId) return;
    if (this.output.hasReaderAhead() || this.history.crashes.length > 0) return;
    const vm = this.current?.link.vm ?? '';
    const target = chooseIdleTarget(this.createChoice(), vm);
    const attempt = target && createAttempt(target, this.deps);
    if (attempt === undefined || !this.sendStart(attempt)) return;
    this.hedge = attempt;
    this.meter.recordLoss();
    this.deps.metrics.countRetry(RetryReason.HEDGED);
  }

  private isHedge(attemptId: string): boolean {
    return this.hedge?.location.attemptId === attemptId;
  }

  private promoteHedge(): void {
    const {hedge} = this;
    if (hedge === undefined) return;
    this.hedge = undefined;
    this.meter.recordLoss();
    this.cancelCurrent();
    this.beginAttempt(hedge);
  }

  private cancelHedge(): void {
    if (this.hedge !== undefined) cancelAttempt(this.hedge);
    this.hedge = undefined;
  }

  /** Cancels the current attempt; its later messages are ignored. */
  private cancelCurrent(): void {
    this.assembly.clearAttempt();
    if (this.current !== undefined) cancelAttempt(this.current);
    this.current = undefined;
  }

  private cancelAttempts(): void {
    this.cancelHedge();
    this.cancelCurrent();
  }

  private createChoice(): ChooseTargetOptions {
    const {task, deps, history, output} = this;
    const isResume = output.log.length > 0;
    return createChoice({task, deps, history, isResume});
  }

  /** Finishes without another attempt if the tokens so far are complete. */
  private finishIfComplete(): boolean {
    const {log} = this.output;
    const {spec} = this.task;
    const reason = detectFinish({spec, tokens: log.slice({from: 0})});
    if (log.length === 0 || reason === undefined) return false;
    log.finish(reason);
    this.finish();
    return true;
  }

  private waitForTarget(): void {
    this.history.refusedBy = [];
    this.retryTimer?.cancel();
    this.retryTimer = this.deps.clock.schedule({
      delayMs: NO_TARGET_RETRY_MS,
      run: () => this.start(),
    });
  }

  private fail(refusal: Refusal): void {
    if (this.isEnded()) return;
    this.deps.metrics.countRefusal(refusal.reason);
    this.end(refusal);
  }

  private end(refusal: Refusal): void {
    if (this.isEnded()) return;
    this.cancelAttempts();
    this.output.fail(refusal);
    this.finish();
  }

  private isEnded(): boolean {
    return this.output.log.state !== LogState.RUNNING;
  }

  private finish(): void {
    this.deadlineTimer.cancel();
    this.retryTimer?.cancel();
    this.onDone();
  }
}

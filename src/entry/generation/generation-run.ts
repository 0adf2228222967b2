/** Brings one answer to its end, over as many attempts as it takes. */
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
import type {TargetView} from '../../core/routing/index.js';
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
  createStart,
  readTokens,
} from './attempt-messages.js';
import {mayRetryRefused} from './may-retry-refused.js';
import {TargetOutcomes} from './target-outcomes.js';
import {TokenMeter} from './token-meter.js';

export type {GenerationTask, GenerationDeps} from './run-types.js';

/** Starts attempts, takes their tokens in order and replaces lost ones. */
export class GenerationRun {
  private current: OpenAttempt | undefined;
  /** A second attempt beside a quiet one; the first to speak goes on. */
  private hedge: OpenAttempt | undefined;
  private sources: OutputSource[] = [];
  private readonly assembly: Assembly;
  private readonly history: AttemptHistory;
  private started = false;
  private waiting: TimerHandle | undefined;
  private readonly deadlineTimer: TimerHandle;
  private readonly meter: TokenMeter;
  private readonly outcomes: TargetOutcomes;

  constructor(
    private readonly order: GenerationTask,
    private readonly copy: OutputBuffer,
    private readonly parts: GenerationDeps,
    private readonly onDone: () => void,
  ) {
    const {clock} = parts;
    const {spec} = order;
    this.assembly = new Assembly({log: copy.log, spec});
    this.history = new AttemptHistory({now: () => clock.now()});
    this.meter = new TokenMeter(parts);
    this.outcomes = new TargetOutcomes(parts.failures);
    this.deadlineTimer = clock.schedule({
      delayMs: Math.max(0, order.deadlineAtMs - clock.now()),
      run: () => this.giveUp(refusals.deadlineExceeded(this.started)),
    });
  }

  /** Starts the first attempt, or the next one after a loss. */
  start(): void {
    if (this.isOver() || this.finishIfKnown()) return;
    const target = chooseTarget(this.createChoice());
    const attempt = target && this.createAttempt(target);
    if (attempt === undefined) {
      this.waitForTarget();
      return;
    }
    this.begin(attempt);
    const {attemptId} = attempt.location;
    if (!this.sendStart(attempt)) this.lose(attemptId, RetryReason.AGENT_GONE);
  }

  /** Goes on with an answer that others hold, from the first that can. */
  resumeFrom(sources: readonly OutputSource[]): void {
    this.sources = [...sources];
    this.adoptNext();
  }

  /** Stops the work; nobody reads the answer any more. */
  abandon(): void {
    if (this.isOver()) return;
    this.dropAttempts();
    this.copy.fail(refusals.outputDiscarded());
    this.finish();
  }

  /** Takes note of a request that was found to crash engines. */
  handlePoisonRequest(poisonKey: string, culprit: QuarantineRecord): void {
    if (poisonKey === this.order.poisonFingerprint) {
      this.giveUp(refusals.poisonRequestDetected());
      return;
    }
    this.history.removeExplainedCrashes(culprit);
  }

  private adoptNext(): void {
    const source = this.sources.shift();
    if (source === undefined) {
      // Nobody has what the caller has: it must discard, never mix.
      this.copy.restartReadersAhead();
      this.start();
      return;
    }
    const {link, location: place, position} = source;
    const {attemptId} = place;
    this.current = source;
    this.started = true;
    this.copy.resetLineage(place);
    this.assembly.begin(attemptId);
    const message = createAttach(this.order, {attemptId, position});
    const handler = this.createHandler(attemptId);
    const opened = link.open({id: attemptId, message, handler});
    if (!opened) this.lose(attemptId, RetryReason.AGENT_GONE);
  }

  private createAttempt(target: TargetView): OpenAttempt | undefined {
    const link = this.parts.links.find(target.vm);
    if (link === undefined) return undefined;
    const attemptId = this.parts.random.id();
    const {vm: agentVm, incarnation: agentIncarnation} = target;
    return {link, location: {attemptId, agentVm, agentIncarnation}};
  }

  private begin(attempt: OpenAttempt): void {
    this.current = attempt;
    this.copy.beginAttempt(attempt.location);
    this.assembly.begin(attempt.location.attemptId);
  }

  private sendStart({link, location: place}: OpenAttempt): boolean {
    const {attemptId} = place;
    const message = createStart(this.order, {
      attemptId,
      resumeFrom: this.copy.log.slice({from: 0}),
      deadlineMs: this.order.deadlineAtMs - this.parts.clock.now(),
      crashes: this.history.crashes,
      mayShare: this.history.mayShare(),
    });
    const handler = this.createHandler(attemptId);
    const opened = link.open({id: attemptId, message, handler});
    this.started ||= opened;
    this.meter.recordPlacement();
    return opened;
  }

  private createHandler(attemptId: string): LinkHandler {
    return {
      onTokens: (message) => this.takeTokens(attemptId, message),
      onLineage: (message) => this.takeLineage(attemptId, message),
      onEnd: (message) => this.takeEnd(attemptId, message),
      onFailed: (message) => this.takeFailure(attemptId, message),
      onRefused: (message) => this.takeRefusal(attemptId, message),
      onLost: (reason) => this.lose(attemptId, reason),
      onDraining: () => this.move(attemptId),
      onHedgeDue: () => this.startHedge(attemptId),
    };
  }

  private takeTokens(attemptId: string, message: TokensMessage): void {
    const tokens = readTokens(message);
    const {position} = message;
    const isNew = position + tokens.length > this.copy.log.length;
    if (isNew && this.isHedge(attemptId)) this.promoteHedge();
    const step = this.assembly.receiveTokens({attemptId, position, tokens});
    this.follow(attemptId, step, RetryReason.ENGINE_DIED);
    if (step.kind === StepKind.IGNORED && tokens.length > 0) {
      this.parts.metrics.count(CounterName.TOKENS_DROPPED);
    }
  }

  private takeLineage(attemptId: string, message: LineageMessage): void {
    if (attemptId !== this.assembly.attemptId) return;
    const {writerId, agentVm, agentIncarnation, position} = message;
    const place = {attemptId: writerId, agentVm, agentIncarnation};
    if (position === 0) this.copy.resetLineage(place);
    else this.copy.addLineageStep({location: place, position});
  }

  private takeEnd(attemptId: string, message: EndMessage): void {
    if (this.isHedge(attemptId)) this.promoteHedge();
    const {length, finishReason} = message;
    const step = this.assembly.receiveEnd({attemptId, length, finishReason});
    this.follow(attemptId, step, RetryReason.END_EARLY);
  }

  private follow(attemptId: string, step: Step, reason: RetryReason): void {
    switch (step.kind) {
      case StepKind.APPENDED:
        this.noteTokens(step.appended);
        return;
      case StepKind.FINISHED:
        this.dropHedge();
        this.finish();
        return;
      case StepKind.BROKEN:
        this.lose(attemptId, reason);
        return;
      case StepKind.UNCONFIRMED:
        this.lose(attemptId, RetryReason.END_UNCONFIRMED);
        return;
      case StepKind.IGNORED:
        return;
    }
  }

  private noteTokens(count: number): void {
    this.meter.recordTokens(count);
    this.outcomes.record(this.current, false);
    this.dropHedge();
    this.history.recordProgress();
  }

  private takeFailure(attemptId: string, message: FailedMessage): void {
    const {crashId, isCulprit, reason} = message;
    if (!this.isHedge(attemptId)) this.outcomes.record(this.current, true);
    this.history.recordCrash(crashId);
    if (isCulprit === true) {
      this.condemn();
      return;
    }
    this.lose(attemptId, reason);
  }

  private condemn(): void {
    const {clientAccount, poisonFingerprint: poisonKey} = this.order;
    const culprit = {clientAccount, crashes: this.history.crashes};
    this.giveUp(refusals.poisonRequestDetected());
    this.parts.quarantine.add({fingerprint: poisonKey, record: culprit});
  }

  private takeRefusal(attemptId: string, message: RefusedMessage): void {
    if (this.isHedge(attemptId)) {
      this.dropHedge();
      return;
    }
    if (attemptId !== this.assembly.attemptId) return;
    if (message.reason === RefusalReason.POISON) {
      this.giveUp(message);
      return;
    }
    if (this.copy.hasReaderAhead()) {
      this.lose(attemptId, RetryReason.TARGET_REFUSED);
      return;
    }
    const {order, parts, history, copy} = this;
    const begun = copy.log.length > 0 || history.hasLostAttempt;
    if (!begun && !mayRetryRefused({message, order, parts})) {
      this.giveUp(refusals.retryBudgetSpent());
      return;
    }
    this.parts.metrics.countRetry(RetryReason.TARGET_REFUSED);
    this.history.recordRefusal(this.current?.link.vm);
    this.dropCurrent();
    this.start();
  }

  private lose(attemptId: string, reason: RetryReason): void {
    if (this.isOver()) return;
    if (this.isHedge(attemptId)) {
      this.dropHedge();
      return;
    }
    if (attemptId !== this.assembly.attemptId) return;
    this.parts.metrics.countRetry(reason);
    this.meter.recordLoss();
    this.history.recordLoss(this.current?.link.vm);
    if (this.hedge !== undefined) {
      this.promoteHedge();
      return;
    }
    this.dropCurrent();
    if (this.copy.hasReaderAhead()) {
      this.adoptNext();
      return;
    }
    if (this.history.isAttemptLimitReached()) {
      this.giveUp(
        refusals.tooManyAttempts(this.history.attemptsWithoutProgress),
      );
      return;
    }
    this.start();
  }

  /** Moves off a leaving target as soon as there is another one. */
  private move(attemptId: string): void {
    if (this.isOver() || attemptId !== this.assembly.attemptId) return;
    if (chooseTarget(this.createChoice()) !== undefined) {
      this.lose(attemptId, RetryReason.TARGET_LEAVING);
      return;
    }
    this.waiting = this.parts.clock.schedule({
      delayMs: MIGRATION_RETRY_MS,
      run: () => this.move(attemptId),
    });
  }

  private startHedge(attemptId: string): void {
    if (this.isOver() || this.hedge !== undefined) return;
    if (attemptId !== this.assembly.attemptId) return;
    if (this.copy.hasReaderAhead() || this.history.crashes.length > 0) return;
    const choice = this.createChoice();
    const vm = this.current?.link.vm ?? '';
    const query = {...choice.query, refusedBy: [...choice.query.refusedBy, vm]};
    const target = chooseIdleTarget({...choice, query});
    const attempt = target && this.createAttempt(target);
    if (attempt === undefined || !this.sendStart(attempt)) return;
    this.hedge = attempt;
    this.meter.recordLoss();
    this.parts.metrics.countRetry(RetryReason.HEDGED);
  }

  private isHedge(attemptId: string): boolean {
    return this.hedge?.location.attemptId === attemptId;
  }

  private promoteHedge(): void {
    const {hedge} = this;
    if (hedge === undefined) return;
    this.hedge = undefined;
    this.meter.recordLoss();
    this.dropCurrent();
    this.begin(hedge);
  }

  private dropHedge(): void {
    if (this.hedge !== undefined) cancelAttempt(this.hedge);
    this.hedge = undefined;
  }

  /** No word of the present attempt is taken from now on. */
  private dropCurrent(): void {
    this.assembly.clearAttempt();
    if (this.current !== undefined) cancelAttempt(this.current);
    this.current = undefined;
  }

  private dropAttempts(): void {
    this.dropHedge();
    this.dropCurrent();
  }

  private createChoice(): ChooseTargetOptions {
    const {order, parts, history, copy} = this;
    const resumes = copy.log.length > 0;
    return createChoice({order, parts, history, isResume: resumes});
  }

  private finishIfKnown(): boolean {
    const tokens = this.copy.log.slice({from: 0});
    const {spec} = this.order;
    const reason = detectFinish({spec, tokens});
    if (tokens.length === 0 || reason === undefined) return false;
    this.copy.log.finish(reason);
    this.finish();
    return true;
  }

  private waitForTarget(): void {
    this.history.refusedBy = [];
    this.waiting?.cancel();
    this.waiting = this.parts.clock.schedule({
      delayMs: NO_TARGET_RETRY_MS,
      run: () => this.start(),
    });
  }

  private giveUp(refusal: Refusal): void {
    if (this.isOver()) return;
    this.parts.metrics.countRefusal(refusal.reason);
    this.dropAttempts();
    this.copy.fail(refusal);
    this.finish();
  }

  private isOver(): boolean {
    return this.copy.log.state !== LogState.RUNNING;
  }

  private finish(): void {
    this.deadlineTimer.cancel();
    this.waiting?.cancel();
    this.onDone();
  }
}

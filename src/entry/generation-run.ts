/** Brings one answer to its end, over as many attempts as it takes. */
import type {RetryBudgets} from '../core/admission/index.js';
import type {Clock, RandomSource, TimerHandle} from '../core/clock/index.js';
import type {GenerationSpec, Token} from '../core/edges/index.js';
import type {Refusal} from '../core/errors/index.js';
import {Ran, RefusalReason, RetryReason} from '../core/errors/index.js';
import {LogState} from '../core/generation/index.js';
import type {Metrics} from '../core/metrics/index.js';
import {CounterName, LatencyName} from '../core/metrics/index.js';
import type {
  EndMessage,
  FailedMessage,
  Message,
  RefusedMessage,
  TokensMessage,
} from '../core/protocol/index.js';
import {MessageType} from '../core/protocol/index.js';
import type {
  FailureWatch,
  TargetChooser,
  TargetView,
} from '../core/routing/index.js';
import type {AgentLink, LinkHandler} from './agent-link.js';
import type {AgentLinks} from './agent-links.js';
import type {AnswerCopy, AttemptPlace} from './answer-copy.js';
import {MAX_ATTEMPTS, NO_TARGET_RETRY_MS, RETRY_AFTER_MS} from './consts.js';

/** What a run has to bring about. */
export interface RunOrder {
  readonly requestId: string;
  readonly clientAccount: string;
  readonly fingerprint: string;
  readonly service: string;
  readonly retryRatio: number;
  readonly spec: GenerationSpec;
  /** On the process's clock. */
  readonly deadlineAtMs: number;
}

/** What runs need of their entry. */
export interface RunParts {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly metrics: Metrics;
  readonly links: AgentLinks;
  readonly chooser: TargetChooser;
  readonly failures: FailureWatch;
  readonly retryBudgets: RetryBudgets;
  readonly dataCentre: string;
}

/** Starts attempts, takes their tokens in order and replaces lost ones. */
export class GenerationRun {
  private attemptId = '';
  private link: AgentLink | undefined;
  private attempts = 0;
  /** Attempts that ended in a refusal, of those so far. */
  private refusals = 0;
  /** The attempt whose outcome was noted last. */
  private outcomeOf = '';
  private readonly excluded: string[] = [];
  private waiting: TimerHandle | undefined;
  private readonly deadlineTimer: TimerHandle;
  private readonly startedAtMs: number;
  private lastTokenAtMs: number;
  private resuming = false;

  constructor(
    private readonly order: RunOrder,
    private readonly copy: AnswerCopy,
    private readonly parts: RunParts,
    private readonly onDone: () => void,
  ) {
    const {clock} = parts;
    this.startedAtMs = clock.now();
    this.lastTokenAtMs = this.startedAtMs;
    this.deadlineTimer = clock.schedule({
      delayMs: Math.max(0, order.deadlineAtMs - this.startedAtMs),
      run: () => this.giveUp(deadlineExceeded()),
    });
  }

  /** Starts the first attempt, or the next one after a loss. */
  start(): void {
    if (this.isOver()) return;
    const choice = this.choose();
    if (choice === undefined) {
      this.waitForTarget();
      return;
    }
    const link = this.parts.links.find(choice.vm);
    const attemptId = this.parts.random.id();
    const place: AttemptPlace = {
      attemptId,
      agentVm: choice.vm,
      agentIncarnation: choice.incarnation,
    };
    this.openAttempt({link, place, message: this.createStart(attemptId)});
  }

  /** Goes on with an attempt that runs already. */
  attach(place: AttemptPlace): void {
    const link = this.parts.links.find(place.agentVm);
    const {requestId, clientAccount, fingerprint} = this.order;
    const message: Message = {
      type: MessageType.ATTACH,
      requestId,
      attemptId: place.attemptId,
      clientAccount,
      fingerprint,
      position: this.copy.log.length,
    };
    this.openAttempt({link, place, message});
  }

  /** Stops the work; nobody reads the answer any more. */
  abandon(): void {
    this.dropAttempt();
    this.copy.log.break();
    this.finish();
  }

  private openAttempt(options: {
    link: AgentLink | undefined;
    place: AttemptPlace;
    message: Message;
  }): void {
    const {link, place, message} = options;
    this.attempts++;
    this.attemptId = place.attemptId;
    this.link = link;
    this.copy.beginAttempt(place);
    const handler = this.createHandler(place);
    const opened = link?.open({id: place.attemptId, message, handler});
    if (opened !== true) this.recover(RetryReason.AGENT_GONE);
  }

  private createStart(attemptId: string): Message {
    const {requestId, clientAccount, fingerprint, spec} = this.order;
    const {log} = this.copy;
    return {
      type: MessageType.START,
      requestId,
      attemptId,
      clientAccount,
      fingerprint,
      spec: {...spec, stop: [...spec.stop]},
      resumeFrom: [...log.slice({from: 0})],
      deadlineMs: this.order.deadlineAtMs - this.parts.clock.now(),
    };
  }

  private createHandler(place: AttemptPlace): LinkHandler {
    const ifCurrent = (run: () => void): void => {
      if (this.attemptId === place.attemptId) run();
      else this.parts.metrics.count(CounterName.TOKENS_DROPPED);
    };
    return {
      onTokens: (message) => ifCurrent(() => this.takeTokens(message)),
      onEnd: (message) => ifCurrent(() => this.takeEnd(message)),
      onFailed: (message) => ifCurrent(() => this.takeFailure(message)),
      onRefused: (message) => ifCurrent(() => this.takeRefusal(message)),
      onLost: (reason) => ifCurrent(() => this.recover(reason)),
      onLeaving: () =>
        ifCurrent(() => this.recover(RetryReason.TARGET_LEAVING)),
    };
  }

  private takeTokens(message: TokensMessage): void {
    const tokens = message.ids.map((id, i): Token => ({
      id,
      text: message.texts[i] ?? '',
    }));
    const {position} = message;
    const result = this.copy.log.append({position, tokens});
    if (result.gap) {
      this.recover(RetryReason.ENGINE_DIED);
      return;
    }
    if (result.appended > 0) this.noteTokens(result.appended);
  }

  private noteTokens(count: number): void {
    this.noteOutcome(false);
    const {metrics, clock} = this.parts;
    const nowMs = clock.now();
    metrics.count(CounterName.TOKENS_RELAYED, {by: count});
    const name = this.latencyName(count);
    const sinceMs = nowMs - this.lastTokenAtMs;
    metrics.observe({name, ms: sinceMs});
    this.resuming = false;
    this.lastTokenAtMs = nowMs;
  }

  private latencyName(count: number): LatencyName {
    if (this.copy.log.length === count) return LatencyName.FIRST_TOKEN;
    return this.resuming ? LatencyName.RESUME : LatencyName.TOKEN_GAP;
  }

  private takeEnd(message: EndMessage): void {
    if (message.length !== this.copy.log.length) {
      this.recover(RetryReason.ENGINE_DIED);
      return;
    }
    this.copy.log.finish(message.finishReason);
    this.finish();
  }

  private takeFailure(message: FailedMessage): void {
    this.noteOutcome(true);
    this.recover(message.reason);
  }

  /** An attempt counts once, by its first tokens or by having none. */
  private noteOutcome(failed: boolean): void {
    if (this.link === undefined || this.outcomeOf === this.attemptId) return;
    this.outcomeOf = this.attemptId;
    this.parts.failures.note({vm: this.link.vm, failed});
  }

  private takeRefusal(message: RefusedMessage): void {
    if (message.reason === RefusalReason.POISON) {
      this.giveUp(message);
      return;
    }
    if (!this.mayRetryRefused(message)) {
      this.giveUp(retryBudgetSpent());
      return;
    }
    this.recover(RetryReason.TARGET_REFUSED);
  }

  /**
   * Whether a refused attempt may be made elsewhere. Answers that have begun
   * and refusals of targets that leave cost no retry: the first replace lost
   * work, and a target that leaves refuses each request once.
   */
  private mayRetryRefused(message: RefusedMessage): boolean {
    this.refusals++;
    if (message.reason === RefusalReason.LEAVING) return true;
    if (this.attempts > this.refusals || this.copy.log.length > 0) return true;
    const {service: name, retryRatio} = this.order;
    return this.parts.retryBudgets.of({name, retryRatio}).tryRetry();
  }

  private recover(reason: RetryReason): void {
    if (this.isOver()) return;
    this.parts.metrics.countRetry(reason);
    this.resuming = true;
    if (this.link !== undefined) this.excluded.push(this.link.vm);
    this.dropAttempt();
    if (this.attempts >= MAX_ATTEMPTS) {
      this.giveUp(tooManyAttempts(this.attempts));
      return;
    }
    this.start();
  }

  /** No word of the present attempt is taken from now on. */
  private dropAttempt(): void {
    const {attemptId} = this;
    this.attemptId = '';
    if (attemptId === '') return;
    this.link?.release(attemptId);
    this.link?.tell({type: MessageType.CANCEL, attemptId});
    this.link = undefined;
  }

  private choose(): TargetView | undefined {
    const {chooser, links, dataCentre} = this.parts;
    const query = {
      service: this.order.service,
      exclude: this.excluded,
      dataCentre,
      prefix: '',
    };
    const targets = links.views();
    const fresh = chooser.choose({query, targets});
    // Where all were tried, any that works now is better than none.
    const any = (): TargetView | undefined =>
      chooser.choose({query: {...query, exclude: []}, targets}).extract();
    return fresh.extract() ?? any();
  }

  private waitForTarget(): void {
    this.waiting = this.parts.clock.schedule({
      delayMs: NO_TARGET_RETRY_MS,
      run: () => this.start(),
    });
  }

  private giveUp(refusal: Refusal): void {
    if (this.isOver()) return;
    this.parts.metrics.countRefusal(refusal.reason);
    this.dropAttempt();
    this.copy.giveUp(refusal);
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

function deadlineExceeded(): Refusal {
  return {
    reason: RefusalReason.DEADLINE_EXCEEDED,
    ran: Ran.UNKNOWN,
    detail: 'the answer was not whole in time',
    retryAfterMs: RETRY_AFTER_MS,
  };
}

function retryBudgetSpent(): Refusal {
  return {
    reason: RefusalReason.RETRY_BUDGET_SPENT,
    ran: Ran.NO,
    detail: 'the target refused and the service has no retries left',
    retryAfterMs: RETRY_AFTER_MS,
  };
}

function tooManyAttempts(attempts: number): Refusal {
  return {
    reason: RefusalReason.TARGET_FAILED,
    ran: Ran.UNKNOWN,
    detail: `${attempts} attempts were lost`,
    retryAfterMs: RETRY_AFTER_MS,
  };
}

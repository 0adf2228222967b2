/** Runs one booking: performs the effects of its state machine. */
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';

import type {
  AgentId,
  BookingEffect,
  BookingEvent,
  BookingState,
  CallEffect,
  ClaimStore,
  CreateEffect,
  Evidence,
  FinishEffect,
  LookUpEffect,
  OutcomeReader,
  StepContext,
  SwapEffect,
  WriteResult,
} from '../../core/booking/index.js';
import {
  claimNameOf,
  createBooking,
  decideVerdict,
  EffectKind,
  EventKind,
  mayMove,
  stepBooking,
  WriteOutcome,
} from '../../core/booking/index.js';
import type {TimerHandle} from '../../core/clock/index.js';
import {sleep} from '../../core/clock/index.js';
import type {PlainResponse} from '../../core/edges/index.js';
import type {Refusal} from '../../core/errors/index.js';
import {Executed, RefusalReason, RetryReason} from '../../core/errors/index.js';
import {CounterName, LatencyName} from '../../core/metrics/index.js';
import {TaskName} from '../../core/supervision/index.js';
import {BookingAgents} from './booking-agents.js';
import {
  ENTRY_FAILED_DETAIL,
  KEY_QUERY_RETRY_MAX_MS,
  KEY_QUERY_RETRY_MIN_MS,
  RETRY_AFTER_MS,
  WRITE_RETRY_MS,
} from '../consts.js';
import type {ResolvedPlain} from './plain-request.js';
import type {PlainCallDeps} from './plain-service.js';
import {isFirstUse} from './key-uncertainty.js';

/** Dependencies of a booking. */
export interface BookingDeps {
  readonly callDeps: PlainCallDeps;
  readonly claims: ClaimStore;
  readonly outcomes: OutcomeReader;
  readonly incarnation: string;
}

type BookingResult = Result<PlainResponse, Refusal>;

/** Keeps a booking's state and resolves its result once. */
export class BookingRun {
  private state: BookingState;
  private readonly claimName: string;
  private readonly agents: BookingAgents;
  private keyQueryDelayMs = KEY_QUERY_RETRY_MIN_MS;
  private timer: TimerHandle | undefined;
  private hasFailed = false;
  private resolve: (result: BookingResult) => void = () => undefined;

  constructor(
    private readonly request: ResolvedPlain,
    private readonly options: BookingDeps,
  ) {
    this.state = createBooking({
      fingerprint: request.fingerprint,
      entryIncarnation: options.incarnation,
      isFirstUse: isFirstUse(request.req),
    });
    this.claimName = claimNameOf({
      clientAccount: request.clientAccount.name,
      key: request.req.idempotencyKey,
    });
    this.agents = new BookingAgents(request, options.callDeps);
  }

  /** Runs the booking; resolves at the deadline at the latest. */
  run(): Promise<BookingResult> {
    const {clock} = this.options.callDeps;
    return new Promise((resolve) => {
      this.resolve = resolve;
      this.guard(() => {
        this.timer = clock.schedule({
          delayMs: Math.max(0, this.leftMs()),
          run: () =>
            this.guard(() => this.handleEvent({kind: EventKind.ABORT})),
        });
        this.handleEvent({kind: EventKind.BEGIN});
      });
    });
  }

  private guard(work: () => unknown): void {
    const onFailure = () => this.fail();
    const {supervisor} = this.options.callDeps;
    supervisor.run({name: TaskName.BOOKING, onFailure}, work);
  }

  /** Ends the booking; later results of its effects cause no more effects. */
  private fail(): void {
    this.hasFailed = true;
    this.resolve(
      err({
        reason: RefusalReason.OUTCOME_UNKNOWN,
        ran: Executed.UNKNOWN,
        detail: ENTRY_FAILED_DETAIL,
      }),
    );
    this.timer?.cancel();
  }

  private leftMs(): number {
    return this.request.deadlineAtMs - this.options.callDeps.clock.now();
  }

  private handleEvent(event: BookingEvent): void {
    if (this.hasFailed) return;
    const {state, effect} = stepBooking(
      this.state,
      event,
      this.readContext(event),
    );
    this.state = state;
    if (effect !== undefined) this.perform(effect);
  }

  /**
   * Reads the clock and the target again at each step, as this process may have
   * been paused since the last one.
   */
  private readContext(event: BookingEvent): StepContext {
    const {random, clock} = this.options.callDeps;
    return {
      nonce: random.id(),
      target: this.chooseTarget(event),
      isPastDeadline: this.leftMs() <= 0,
      wallMs: clock.wallNow(),
    };
  }

  /**
   * Chooses a target if the next step needs one. The first is free; each
   * further one takes a retry from the service's budget.
   */
  private chooseTarget(event: BookingEvent): AgentId | undefined {
    const {request, options} = this;
    const budget = options.callDeps.retryBudgets.forService(request.service);
    if (event.kind === EventKind.BEGIN) {
      budget.recordFirstAttempt();
      return this.agents.choose(undefined);
    }
    if (!mayMove(this.state, event) || !budget.tryTakeRetry()) return undefined;
    this.countRetry(RetryReason.TARGET_REFUSED);
    return this.agents.choose(this.state.stored?.claim.agentVm);
  }

  private perform(effect: BookingEffect): void {
    switch (effect.kind) {
      case EffectKind.CREATE:
        this.guard(() => this.create(effect));
        return;
      case EffectKind.SWAP:
        this.guard(() => this.swap(effect));
        return;
      case EffectKind.CALL:
        this.guard(() => this.call(effect));
        return;
      case EffectKind.QUERY:
        this.guard(() => this.queryKey(effect));
        return;
      case EffectKind.LOOK_UP:
        this.guard(() => this.lookUp(effect));
        return;
      case EffectKind.FINISH:
        this.finish(effect);
    }
  }

  private async create({claim, isRetry}: CreateEffect): Promise<void> {
    const {callDeps, claims} = this.options;
    await this.waitBeforeRetry(isRetry);
    const startedAtMs = callDeps.clock.now();
    const result = await claims.create({name: this.claimName, claim});
    const ms = callDeps.clock.now() - startedAtMs;
    callDeps.metrics.observe({name: LatencyName.BOOKING_CLAIM, ms});
    this.handleWrite(result);
  }

  private async swap({expected, claim, isRetry}: SwapEffect): Promise<void> {
    await this.waitBeforeRetry(isRetry);
    const {claimName: name} = this;
    const result = await this.options.claims.swap({name, expected, claim});
    if (result.outcome === WriteOutcome.CONFLICT) {
      this.countRetry(RetryReason.STORE_CONFLICT);
    }
    this.handleWrite(result);
  }

  private async waitBeforeRetry(isRetry: boolean): Promise<void> {
    if (!isRetry) return;
    this.countRetry(RetryReason.STORE_ANSWER_LOST);
    await sleep(this.options.callDeps.clock, WRITE_RETRY_MS);
  }

  private handleWrite(result: WriteResult): void {
    this.handleEvent({kind: EventKind.WRITE, result});
  }

  private async call({agent, claimedAtMs}: CallEffect): Promise<void> {
    const timeoutMs = this.leftMs();
    const result = await this.agents.call({agent, claimedAtMs, timeoutMs});
    this.handleEvent({kind: EventKind.AGENT, result});
  }

  private async queryKey(
    effect: Extract<BookingEffect, {kind: EffectKind.QUERY}>,
  ): Promise<void> {
    if (effect.isRetry) await this.waitBeforeKeyQuery();
    const {agent} = effect;
    const result = await this.agents.queryKey({
      agent,
      timeoutMs: this.leftMs(),
    });
    this.handleEvent({kind: EventKind.AGENT, result});
  }

  private async waitBeforeKeyQuery(): Promise<void> {
    this.countRetry(RetryReason.CALL_LOST);
    await sleep(this.options.callDeps.clock, this.keyQueryDelayMs);
    this.keyQueryDelayMs = Math.min(
      this.keyQueryDelayMs * 2,
      KEY_QUERY_RETRY_MAX_MS,
    );
  }

  private async lookUp({claim}: LookUpEffect): Promise<void> {
    const response = await this.options.outcomes.find({
      name: this.claimName,
      incarnation: claim.agentIncarnation,
      claimedAtMs: claim.claimedAtMs,
    });
    this.handleEvent({kind: EventKind.LOOK_UP, response});
  }

  private finish({response, evidence}: FinishEffect): void {
    this.timer?.cancel();
    const result: BookingResult =
      response === undefined
        ? err(this.createRefusal(evidence!))
        : ok(response);
    this.resolve(result);
  }

  private createRefusal(evidence: Evidence): Refusal {
    const {ran, reason, detail, retryLater} = decideVerdict(evidence);
    const label = evidence.kind;
    this.options.callDeps.metrics.count(CounterName.BOOKING_EVIDENCE, {label});
    const limit = this.agents.limits.shortest;
    if (reason === RefusalReason.NO_TARGET && limit !== undefined) return limit;
    const retryAfterMs = retryLater ? RETRY_AFTER_MS : undefined;
    return {ran, reason, detail, retryAfterMs};
  }

  private countRetry(reason: RetryReason): void {
    this.options.callDeps.metrics.countRetry(reason);
  }
}

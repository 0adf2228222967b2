/** The attempts of an agent, which are kept for a time after their end. */
import type {Clock, RandomSource, TimerHandle} from '../core/clock/index.js';
import type {
  DriverError,
  EngineDriver,
  EngineSink,
} from '../core/edges/index.js';
import {DriverErrorKind, FinishReason} from '../core/edges/index.js';
import type {Refusal} from '../core/errors/index.js';
import {Layer, Executed, RefusalReason} from '../core/errors/index.js';
import {LogState} from '../core/generation/index.js';
import {CounterName} from '../core/metrics/index.js';
import type {Metrics} from '../core/metrics/index.js';
import type {Suspect} from '../core/poison/index.js';
import {findCrashCauses, sharesNoCrash} from '../core/poison/index.js';
import type {StartMessage} from '../core/protocol/index.js';
import {TargetPhase} from '../core/protocol/index.js';
import type {Supervisor} from '../core/supervision/index.js';
import {TaskName} from '../core/supervision/index.js';
import type {AgentBoard} from './agent-board.js';
import {Attempt} from './attempt.js';
import type {TargetLimit} from './target-limit.js';
import {
  CRASH_DETECTION_MS,
  JOURNAL_RETENTION_MS,
  ORPHAN_GRACE_MS,
  SWEEP_PERIOD_MS,
} from './consts.js';

/** Starts, looks up and removes attempts. */
export class AttemptTable {
  private readonly attempts = new Map<string, Attempt>();
  private latestTokenAtMs = Number.NEGATIVE_INFINITY;
  private sweeper: TimerHandle | undefined;

  constructor(
    private readonly options: {
      board: AgentBoard;
      clock: Clock;
      driver: EngineDriver;
      limit: TargetLimit;
      metrics: Metrics;
      random: RandomSource;
      supervisor: Supervisor;
      /** Probes the engine at once; resolves when the probe has ended. */
      probeNow: () => Promise<void>;
    },
  ) {
    const {board, supervisor} = options;
    const task = {name: TaskName.HEALTH_CHECK};
    board.phase.subscribe(
      supervisor.guard(task, (phase: TargetPhase) =>
        this.handlePhaseChange(phase),
      ),
    );
  }

  open(): void {
    const {clock, supervisor} = this.options;
    this.sweeper = clock.repeat({
      periodMs: SWEEP_PERIOD_MS,
      run: supervisor.guard({name: TaskName.GENERATION}, () => this.sweep()),
    });
  }

  close(): void {
    this.sweeper?.cancel();
    for (const attempt of this.attempts.values()) attempt.cancel();
  }

  find(attemptId: string): Attempt | undefined {
    return this.attempts.get(attemptId);
  }

  /** Counts the attempts that have not ended. */
  countRunning(): number {
    return this.findRunning().length;
  }

  /** Time of the last token of any attempt; -Infinity if there was none. */
  lastTokenAtMs(): number {
    return this.latestTokenAtMs;
  }

  /**
   * Returns why an attempt is refused now; undefined to admit it, with a permit of
   * the engine's limit.
   */
  checkAdmission(
    request: Pick<
      StartMessage,
      'attemptId' | 'clientAccount' | 'crashes' | 'mayShare'
    >,
  ): Refusal | undefined {
    const {board, limit} = this.options;
    if (board.draining.get()) {
      return createRefusal(RefusalReason.LEAVING, 'this target is leaving');
    }
    if (board.phase.get() !== TargetPhase.HEALTHY) {
      return createRefusal(
        RefusalReason.NO_TARGET,
        'the engine does not answer',
      );
    }
    const crashes = request.crashes ?? [];
    const mayShare = request.mayShare === true;
    if (!mayShare && !sharesNoCrash({crashes, others: this.findSuspects()})) {
      const detail = 'another request of the same crash runs here';
      return createRefusal(RefusalReason.NO_TARGET, detail);
    }
    if (this.attempts.has(request.attemptId)) return undefined;
    return limit.take(request.clientAccount);
  }

  /** Starts an attempt, or returns the one that was started under its id. */
  start(request: StartMessage): Attempt {
    const existing = this.attempts.get(request.attemptId);
    if (existing !== undefined) return existing;
    const attempt = new Attempt(request, this.options.clock);
    this.attempts.set(request.attemptId, attempt);
    this.guard(attempt, () => {
      this.options.metrics.count(CounterName.ATTEMPTS_STARTED);
      const stream = this.options.driver.generate({
        requestId: request.requestId,
        spec: request.spec,
        resumeFrom: request.resumeFrom,
        sink: this.createSink(attempt),
      });
      attempt.attachStream(stream);
    });
    return attempt;
  }

  private createSink(attempt: Attempt): EngineSink {
    const guard = (work: () => void): void => this.guard(attempt, work);
    return {
      onTokens: (part) => guard(() => this.appendTokens(attempt, part)),
      onFinish: (reason) => guard(() => finishAttempt(attempt, reason)),
      onFailure: (err) => guard(() => this.handleFailure(attempt, err)),
    };
  }

  /** A failure ends the attempt, so that its entry can start another. */
  private guard(attempt: Attempt, work: () => unknown): void {
    const {requestId} = attempt.request;
    const onFailure = () => attempt.fail(createAgentError());
    const {supervisor} = this.options;
    supervisor.run({name: TaskName.GENERATION, requestId, onFailure}, work);
  }

  private appendTokens(
    attempt: Attempt,
    part: Parameters<EngineSink['onTokens']>[0],
  ): void {
    attempt.recordToken();
    this.latestTokenAtMs = attempt.lastTokenAtMs;
    const result = attempt.journal.append(part);
    if (result.gap) attempt.fail(createGapError());
  }

  /** A lost stream may mean an engine crash, so the engine is probed. */
  private handleFailure(attempt: Attempt, err: DriverError): void {
    if (err.kind !== DriverErrorKind.LOST) {
      attempt.fail(err);
      return;
    }
    const fail = () => attempt.fail(err);
    // If the probe detects a crash, the phase change fails the attempt first.
    const {clock, probeNow} = this.options;
    this.guard(attempt, () => probeNow().then(fail));
    clock.schedule({
      delayMs: CRASH_DETECTION_MS,
      run: () => this.guard(attempt, fail),
    });
  }

  /** Fails all running attempts unless the engine is healthy. */
  private handlePhaseChange(phase: TargetPhase): void {
    if (phase === TargetPhase.HEALTHY) return;
    const isCrash = phase === TargetPhase.DOWN;
    const kind = isCrash ? DriverErrorKind.LOST : DriverErrorKind.TIMEOUT;
    const detail = `the engine is ${phase}`;
    const id = this.options.random.id();
    const causes = isCrash ? findCrashCauses(this.findSuspects()) : [];
    for (const attempt of this.findRunning()) {
      const isCause = causes.includes(attempt.request.attemptId);
      const crash = isCrash ? {id, isCause} : undefined;
      this.guard(attempt, () =>
        attempt.fail({layer: Layer.DRIVER, kind, detail}, crash),
      );
    }
  }

  private findRunning(): Attempt[] {
    return [...this.attempts.values()].filter(
      (attempt) => attempt.journal.state === LogState.RUNNING,
    );
  }

  /** Returns the running requests, any of which may cause the next crash. */
  private findSuspects(): Suspect[] {
    return this.findRunning().map(({request}) => ({
      id: request.attemptId,
      crashes: request.crashes ?? [],
    }));
  }

  /** Cancels attempts without a reader and removes old journals. */
  private sweep(): void {
    for (const [id, attempt] of this.attempts)
      this.guard(attempt, () => this.sweepAttempt(id, attempt));
  }

  private sweepAttempt(id: string, attempt: Attempt): void {
    const unreadMs = attempt.unreadForMs();
    const isRunning = attempt.journal.state === LogState.RUNNING;
    if (isRunning && unreadMs > ORPHAN_GRACE_MS) {
      attempt.cancel();
      this.options.metrics.count(CounterName.ATTEMPTS_ORPHANED);
    }
    if (!isRunning && unreadMs > JOURNAL_RETENTION_MS) {
      this.attempts.delete(id);
    }
  }
}

function createRefusal(reason: RefusalReason, detail: string): Refusal {
  return {reason, ran: Executed.NO, detail};
}

/**
 * Finishes an attempt. It fails if the engine reports that the maximum length
 * was reached but the output is shorter.
 */
function finishAttempt(attempt: Attempt, reason: FinishReason): void {
  const {journal, request} = attempt;
  const isShort = journal.length < request.spec.maxTokens;
  if (reason === FinishReason.LENGTH && isShort) {
    const detail = 'the engine ended the answer early';
    const kind = DriverErrorKind.MALFORMED;
    attempt.fail({layer: Layer.DRIVER, kind, detail});
    return;
  }
  journal.finish(reason);
}

function createAgentError(): DriverError {
  const detail = 'the agent failed while it handled the attempt';
  return {layer: Layer.DRIVER, kind: DriverErrorKind.LOST, detail};
}

function createGapError(): DriverError {
  const detail = 'the engine left out a token';
  return {layer: Layer.DRIVER, kind: DriverErrorKind.MALFORMED, detail};
}

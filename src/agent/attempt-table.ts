/** The attempts of an agent, from their start to the end of retention. */
import type {Clock, TimerHandle} from '../core/clock/index.js';
import type {
  DriverError,
  EngineDriver,
  EngineSink,
} from '../core/edges/index.js';
import {DriverErrorKind} from '../core/edges/index.js';
import type {Refusal} from '../core/errors/index.js';
import {Layer, Ran, RefusalReason} from '../core/errors/index.js';
import {LogState} from '../core/generation/index.js';
import {CounterName} from '../core/metrics/index.js';
import type {Metrics} from '../core/metrics/index.js';
import type {StartMessage} from '../core/protocol/index.js';
import {TargetPhase} from '../core/protocol/index.js';
import type {AgentBoard} from './agent-board.js';
import {Attempt} from './attempt.js';
import {
  JOURNAL_RETENTION_MS,
  ORPHAN_GRACE_MS,
  SWEEP_PERIOD_MS,
} from './consts.js';

/** Starts, finds and forgets attempts. */
export class AttemptTable {
  private readonly attempts = new Map<string, Attempt>();
  private sweeper: TimerHandle | undefined;

  constructor(
    private readonly options: {
      board: AgentBoard;
      clock: Clock;
      driver: EngineDriver;
      metrics: Metrics;
    },
  ) {
    options.board.phase.subscribe((phase) => this.handlePhase(phase));
  }

  open(): void {
    this.sweeper = this.options.clock.repeat({
      periodMs: SWEEP_PERIOD_MS,
      run: () => this.sweep(),
    });
  }

  close(): void {
    this.sweeper?.cancel();
    for (const attempt of this.attempts.values()) attempt.cancel();
  }

  find(attemptId: string): Attempt | undefined {
    return this.attempts.get(attemptId);
  }

  /** Attempts that still produce tokens. */
  countRunning(): number {
    let running = 0;
    for (const attempt of this.attempts.values()) {
      if (attempt.journal.state === LogState.RUNNING) running++;
    }
    return running;
  }

  /** Why a new attempt would be refused now; undefined if it would not. */
  checkAdmission(): Refusal | undefined {
    const {board} = this.options;
    if (board.leaving.get()) {
      return refuse(RefusalReason.LEAVING, 'this target is leaving');
    }
    if (board.phase.get() !== TargetPhase.HEALTHY) {
      return refuse(RefusalReason.NO_TARGET, 'the engine does not answer');
    }
    return undefined;
  }

  /** Starts an attempt; one that is known already is returned as it is. */
  start(order: StartMessage): Attempt {
    const known = this.attempts.get(order.attemptId);
    if (known !== undefined) return known;
    const attempt = new Attempt(order, this.options.clock);
    this.attempts.set(order.attemptId, attempt);
    this.options.metrics.count(CounterName.ATTEMPTS_STARTED);
    const stream = this.options.driver.generate({
      requestId: order.requestId,
      spec: order.spec,
      resumeFrom: order.resumeFrom,
      sink: this.createSink(attempt),
    });
    attempt.run(stream);
    return attempt;
  }

  private createSink(attempt: Attempt): EngineSink {
    return {
      onTokens: (part) => {
        attempt.noteToken();
        const result = attempt.journal.append(part);
        if (result.gap) attempt.fail(gapError());
      },
      onFinish: (reason) => attempt.journal.finish(reason),
      onFailure: (err) => attempt.fail(err),
    };
  }

  private handlePhase(phase: TargetPhase): void {
    if (phase === TargetPhase.HEALTHY) return;
    const kind =
      phase === TargetPhase.DOWN
        ? DriverErrorKind.LOST
        : DriverErrorKind.TIMEOUT;
    const detail = `the engine is ${phase}`;
    for (const attempt of this.attempts.values()) {
      if (attempt.journal.state !== LogState.RUNNING) continue;
      attempt.fail({layer: Layer.DRIVER, kind, detail});
    }
  }

  private sweep(): void {
    for (const [id, attempt] of this.attempts) {
      const unreadMs = attempt.unreadForMs();
      const running = attempt.journal.state === LogState.RUNNING;
      if (running && unreadMs > ORPHAN_GRACE_MS) {
        this.options.metrics.count(CounterName.ATTEMPTS_ORPHANED);
        attempt.cancel();
      }
      if (!running && unreadMs > JOURNAL_RETENTION_MS) {
        this.attempts.delete(id);
      }
    }
  }
}

function refuse(reason: RefusalReason, detail: string): Refusal {
  return {reason, ran: Ran.NO, detail};
}

function gapError(): DriverError {
  const detail = 'the engine left out a token';
  return {layer: Layer.DRIVER, kind: DriverErrorKind.MALFORMED, detail};
}

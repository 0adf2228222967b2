/** Bounds what an unforeseen exception in one request ends. */
import type {Clock, TimerHandle} from '../core/clock/index.js';
import type {CallerResponse} from '../core/edges/direct-caller.js';
import {INTERNAL_FAILURE} from '../core/edges/direct-caller.js';
import type {ExchangeListener} from '../core/edges/direct-target.js';
import type {Supervisor, Task} from '../core/supervision/index.js';
import type {TaskName} from '../core/supervision/index.js';
import type {DirectContext, DirectWork, RequestContext} from './context.js';

/** Parameters of a boundary. */
export interface RequestBoundaryOptions {
  readonly ctx: DirectContext;
  readonly work: DirectWork;
  readonly name: TaskName;
  /**
   * Gives back all that the request holds, and withdraws it from its target. It
   * may be called at any point of the request, and more than once.
   */
  readonly release: () => void;
}

/**
 * Runs all that happens in one request after its start: its timers, the events
 * of its exchanges with targets, and what it waits for. After an exception the
 * request is released, and its caller gets a failure, or a broken connection if
 * the response has begun or the release fails too.
 *
 * @example
 * const boundary = new RequestBoundary({ctx, work, name, release});
 * boundary.run(() => this.sendFirst());
 */
export class RequestBoundary {
  /** Dependencies whose callbacks run within the boundary. */
  readonly ctx: RequestContext;
  private readonly task: Task;
  private readonly supervisor: Supervisor;

  constructor(private readonly options: RequestBoundaryOptions) {
    const {ctx, work, name} = options;
    this.supervisor = ctx.supervisor;
    this.task = {
      name,
      requestId: work.req.attemptId,
      onFailure: () => this.end(),
    };
    this.ctx = this.createContext(ctx);
  }

  /** Runs work, whether it returns or resolves. */
  run(work: () => unknown): void {
    this.supervisor.run(this.task, work);
  }

  /** Wraps a callback. */
  guard<Args extends unknown[]>(
    callback: (...args: Args) => unknown,
  ): (...args: Args) => void {
    return this.supervisor.guard(this.task, callback);
  }

  /**
   * Wraps the listener of one exchange. After an exception `lose` may end the
   * attempt, so that the request goes on; it returns false if it can't.
   */
  guardListener(
    listener: ExchangeListener,
    lose: () => boolean = () => false,
  ): ExchangeListener {
    const {name, requestId} = this.task;
    const onFailure = () => this.run(() => lose() || this.end());
    const task: Task = {name, requestId, onFailure};
    const guard = <Args extends unknown[]>(event: (...args: Args) => void) =>
      this.supervisor.guard(task, event);
    return {
      onNotice: guard((notice) => listener.onNotice(notice)),
      onHead: guard((head) => listener.onHead(head)),
      onData: guard((chunk) => listener.onData(chunk)),
      onComplete: guard(() => listener.onComplete()),
      onFailure: this.guard((failure, detail) =>
        listener.onFailure(failure, detail),
      ),
    };
  }

  /** Names each field, as a spread costs more than the rest of a boundary. */
  private createContext(ctx: DirectContext): RequestContext {
    return {
      dataCentre: ctx.dataCentre,
      clock: new BoundedClock(ctx.clock, this),
      random: ctx.random,
      targets: ctx.targets,
      client: ctx.client,
      prober: ctx.prober,
      grace: ctx.grace,
      minGenerationTimes: ctx.minGenerationTimes,
      retryBudgets: ctx.retryBudgets,
      room: ctx.room,
      callQueues: ctx.callQueues,
      limits: ctx.limits,
      lossTracker: ctx.lossTracker,
      quarantine: ctx.quarantine,
      memory: ctx.memory,
      metrics: ctx.metrics,
      logger: ctx.logger,
      supervisor: ctx.supervisor,
      boundary: this,
    } satisfies Record<keyof RequestContext, unknown>;
  }

  private end(): void {
    const {ctx, work, release} = this.options;
    try {
      release();
    } catch (cause) {
      work.res.breakOff();
      throw cause;
    }
    failRequest({ctx, res: work.res});
  }
}

/**
 * Answers a request that was ended by an exception, unless its response has
 * ended.
 *
 * @example
 * failRequest({ctx, res});
 */
export function failRequest(options: {
  ctx: Pick<DirectContext, 'metrics'>;
  res: CallerResponse;
}): void {
  const {ctx, res} = options;
  if (res.breakOff(INTERNAL_FAILURE))
    ctx.metrics.countRefusal(INTERNAL_FAILURE.reason);
}

/** A clock whose timers run within a boundary. */
class BoundedClock implements Clock {
  constructor(
    private readonly clock: Clock,
    private readonly boundary: RequestBoundary,
  ) {}

  now(): number {
    return this.clock.now();
  }

  wallNow(): number {
    return this.clock.wallNow();
  }

  schedule({delayMs, run}: {delayMs: number; run: () => void}): TimerHandle {
    return this.clock.schedule({delayMs, run: this.boundary.guard(run)});
  }

  repeat({periodMs, run}: {periodMs: number; run: () => void}): TimerHandle {
    return this.clock.repeat({periodMs, run: this.boundary.guard(run)});
  }
}

/**
 * Runs all steps of a release, and throws the first exception after the last
 * step.
 *
 * @example
 * runAll([() => body.release(), () => timer.cancel()]);
 */
export function runAll(steps: ReadonlyArray<() => void>): void {
  const causes: unknown[] = [];
  for (const step of steps) {
    try {
      step();
    } catch (cause) {
      causes.push(cause);
    }
  }
  if (causes.length > 0) throw causes[0];
}

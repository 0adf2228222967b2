/** Counts the outcome of one exchange during a roll-out. */
import type {Clock} from '../../core/clock/index.js';
import type {
  Exchange,
  ExchangeListener,
  TargetResponseHead,
} from '../../core/edges/direct-target.js';
import {ExchangeFailure} from '../../core/edges/direct-target.js';
import type {CellCounts, ProcessDelays} from '../../core/rollouts/index.js';
import type {TargetRecord} from '../../core/targets/index.js';
import {FIRST_FAILURE_STATUS, PACE_SAMPLE_MS} from './consts.js';
import type {ExchangeTimer, ExchangeTimes} from './exchange-timer.js';

/** Failures after which nothing is known of the target's version. */
const NEUTRAL_FAILURES: ReadonlySet<ExchangeFailure> = new Set([
  ExchangeFailure.NOT_SENT,
  ExchangeFailure.HELD_BACK,
  ExchangeFailure.REJECTED,
  ExchangeFailure.WRONG_TARGET,
]);

const NOTHING: CellCounts = {
  answers: 0,
  failures: 0,
  lost: 0,
  timed: 0,
  slow: 0,
};

const STREAM_TYPE = 'text/event-stream';

/** Receives what became of an exchange. */
export interface ExchangeRecorder {
  /** The request has reached its target. */
  onReached(): void;
  /** The entry held the request back, so it was not sent. */
  onHeldBack(): void;
  /** Something was found out; may come before the end. */
  onCounted(counts: CellCounts): void;
  /** The exchange is over. */
  onOver(): void;
}

/**
 * Listens to an exchange on behalf of another listener, and counts its outcome.
 *
 * @example
 * const counted = new CountedExchange({target, route, isNew, ...rest});
 * const exchange = counted.wrap(client.send({...options, listener: counted}));
 */
export class CountedExchange implements ExchangeListener {
  private readonly startedMs: number;
  /** Delays of this process before the send. */
  private readonly startedDelaysMs: number;
  private head?: TargetResponseHead;
  private headMs?: number;
  private bytes = 0;
  private hasReached = false;
  private isOver = false;
  /** Whether its response has been counted. */
  private hasAnswered = false;

  constructor(
    private readonly options: {
      target: TargetRecord;
      route: string;
      isNew: boolean;
      listener: ExchangeListener;
      recorder: ExchangeRecorder;
      timer: ExchangeTimer;
      delays: Pick<ProcessDelays, 'totalMs'>;
      clock: Clock;
    },
  ) {
    this.startedMs = options.clock.now();
    this.startedDelaysMs = options.delays.totalMs;
  }

  /** Returns the exchange for its owner, who may cancel it. */
  wrap(exchange: Exchange): Exchange {
    return {
      cancel: () => {
        this.handleCancelled();
        exchange.cancel();
      },
      pause: () => exchange.pause(),
      resume: () => exchange.resume(),
    };
  }

  onNotice(...args: Parameters<ExchangeListener['onNotice']>): void {
    this.options.listener.onNotice(...args);
  }

  onHead(head: TargetResponseHead): void {
    this.head = head;
    this.headMs = this.timeSinceSend();
    this.reach();
    this.options.listener.onHead(head);
  }

  onData(chunk: Uint8Array): void {
    this.bytes += chunk.length;
    if (!this.hasAnswered && this.isSampleDue()) this.answer();
    this.options.listener.onData(chunk);
  }

  onComplete(): void {
    if (!this.hasAnswered && !this.isOver) this.answer();
    this.finish(NOTHING);
    this.options.listener.onComplete();
  }

  onFailure(failure: ExchangeFailure, detail: string): void {
    const isNeutral = NEUTRAL_FAILURES.has(failure);
    if (!isNeutral) this.reach();
    if (failure === ExchangeFailure.HELD_BACK)
      this.options.recorder.onHeldBack();
    this.finish(isNeutral ? NOTHING : {...NOTHING, lost: 1});
    this.options.listener.onFailure(failure, detail);
  }

  /** Given up by its owner: bad only if it had already lasted too long. */
  private handleCancelled(): void {
    if (this.isOver) return;
    const isSlow = this.options.timer.wasSlow(this.times());
    this.finish(isSlow ? {...NOTHING, timed: 1, slow: 1} : NOTHING);
  }

  /** A long stream is counted once its pace is known. */
  private isSampleDue(): boolean {
    const {head, headMs = 0, isOver} = this;
    if (isOver || !isStream(head)) return false;
    return this.timeSinceSend() - headMs >= PACE_SAMPLE_MS;
  }

  private answer(): void {
    this.hasAnswered = true;
    const isFailure = (this.head?.status ?? 0) >= FIRST_FAILURE_STATUS;
    this.options.recorder.onCounted({
      ...NOTHING,
      answers: 1,
      failures: isFailure ? 1 : 0,
      ...(isFailure ? {} : this.compareTimes()),
    });
  }

  /** Times of targets that have just started are not compared. */
  private compareTimes(): Pick<CellCounts, 'timed' | 'slow'> {
    const {timer, isNew, target} = this.options;
    const times = this.times();
    if (target.isWarmingUp === true) return {timed: 0, slow: 0};
    const isSlow = timer.isSlow(times);
    if (!isNew) timer.record(times);
    if (isSlow === undefined) return {timed: 0, slow: 0};
    return {timed: 1, slow: isSlow ? 1 : 0};
  }

  private times(): ExchangeTimes {
    const {headMs, bytes, head} = this;
    const {route} = this.options;
    const totalMs = this.timeSinceSend();
    return {route, isStream: isStream(head), headMs, totalMs, bytes};
  }

  /** Without the time for which this process could not read. */
  private timeSinceSend(): number {
    const {clock, delays} = this.options;
    const delayedMs = delays.totalMs - this.startedDelaysMs;
    return Math.max(0, clock.now() - this.startedMs - delayedMs);
  }

  private reach(): void {
    if (this.hasReached) return;
    this.hasReached = true;
    this.options.recorder.onReached();
  }

  private finish(counts: CellCounts): void {
    if (this.isOver) return;
    this.isOver = true;
    const {recorder} = this.options;
    if (counts !== NOTHING) recorder.onCounted(counts);
    recorder.onOver();
  }
}

function isStream(head: TargetResponseHead | undefined): boolean {
  return (
    head?.headers.some(
      ({name, value}) =>
        name.toLowerCase() === 'content-type' && value.startsWith(STREAM_TYPE),
    ) ?? false
  );
}

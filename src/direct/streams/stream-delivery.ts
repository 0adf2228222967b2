/** Writes a stream to its caller. */
import type {TargetResponseHead} from '../../core/edges/direct-target.js';
import {LatencyName} from '../../core/metrics/index.js';
import type {RawEvent} from '../../core/streams/index.js';
import type {DirectContext, DirectWork} from '../context.js';

/**
 * Writes the events of a stream to its caller, with the status and headers of
 * the first target, and measures the pauses that the caller sees.
 *
 * @example
 * const delivery = new StreamDelivery({ctx, work});
 * delivery.writeEvent(head, event);
 * delivery.flush();
 * delivery.finish(head);
 */
export class StreamDelivery {
  private readonly ctx: DirectContext;
  private readonly work: DirectWork;
  private isStarted = false;
  private isResuming = false;
  private firstEventAfterMs = 0;
  private longestPauseMs = 0;
  private lastWrittenMs?: number;
  /** Events that are written together. */
  private unwritten: Uint8Array[] = [];

  constructor(options: {ctx: DirectContext; work: DirectWork}) {
    this.ctx = options.ctx;
    this.work = options.work;
  }

  /** Whether a part of the response was sent to the caller. */
  get hasStarted(): boolean {
    return this.isStarted;
  }

  /** Time from the receipt of the request to the first event, in ms. */
  get firstEventMs(): number {
    return this.firstEventAfterMs;
  }

  /** Marks that the next event comes from another attempt. */
  markResumed(): void {
    this.isResuming = this.isStarted;
  }

  /** Writes an event with the next `flush`. */
  writeEvent(head: TargetResponseHead, event: RawEvent): void {
    this.start(head);
    this.unwritten.push(event.bytes);
    if (event.hasData) this.recordPause();
  }

  /** Writes the events that have come together. */
  flush(): void {
    const {unwritten} = this;
    if (unwritten.length === 0) return;
    this.unwritten = [];
    const [first] = unwritten;
    const isSingle = unwritten.length === 1;
    this.work.res.write(isSingle ? first! : Buffer.concat(unwritten));
  }

  /** Ends the response as a complete one. */
  finish(head: TargetResponseHead): void {
    this.start(head);
    this.flush();
    this.work.res.end();
    this.logIfLate();
  }

  private start(head: TargetResponseHead): void {
    if (this.isStarted) return;
    this.isStarted = true;
    this.work.res.writeHead(head);
  }

  private recordPause(): void {
    const nowMs = this.ctx.clock.now();
    if (this.lastWrittenMs === undefined) {
      this.firstEventAfterMs = nowMs - this.work.req.receivedMs;
      this.observe(LatencyName.FIRST_TOKEN, this.firstEventAfterMs);
    } else {
      const pauseMs = nowMs - this.lastWrittenMs;
      this.longestPauseMs = Math.max(this.longestPauseMs, pauseMs);
      if (this.isResuming) this.observe(LatencyName.STREAM_RESUME, pauseMs);
    }
    this.isResuming = false;
    this.lastWrittenMs = nowMs;
  }

  private observe(name: LatencyName, ms: number): void {
    this.ctx.metrics.observe({name, ms});
  }

  private logIfLate(): void {
    const {latencyObjectiveMs: objectiveMs, maxPauseMs = Infinity} =
      this.work.admitted.route;
    const isOnTime =
      this.firstEventAfterMs <= objectiveMs &&
      this.longestPauseMs <= maxPauseMs;
    if (isOnTime) return;
    this.ctx.logger.info('stream exceeded its latency limits', {
      id: this.work.req.attemptId,
      firstEventMs: Math.round(this.firstEventAfterMs),
      longestPauseMs: Math.round(this.longestPauseMs),
    });
  }
}

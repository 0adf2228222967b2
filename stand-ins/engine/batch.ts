/** Continuous batching: one timer moves all running generations. */
import {performance} from 'node:perf_hooks';

import {FinishReason} from '../../src/core/edges/index.js';
import {LaggedValue} from '../lib/lagged-value.js';
import {PrefixCache} from './prefix-cache.js';
import {OutputGenerator} from './text.js';
import type {
  EngineCounts,
  EngineOptions,
  Generation,
  GenerationSink,
  RequestCount,
} from './types.js';
import {EarlyEnd, EngineFault} from './types.js';

const CRASH_AFTER_MARK = /\[crash-after=(\d+)\]/;

/** Tokens before a crash where the prompt names no number. */
const DEFAULT_CRASH_AFTER_TOKENS = 3;

/** Tokens after a resume before an early end. */
const EARLY_END_AFTER_TOKENS = 5;

interface Job {
  readonly generation: Generation;
  readonly sink: GenerationSink;
  readonly writer: OutputGenerator;
  readonly count: RequestCount;
  /** When prefill is done, on the monotonic clock. */
  readyAtMs: number;
}

/** How many generations run and wait. */
export interface Load {
  readonly running: number;
  readonly waiting: number;
}

/** Runs generations up to the capacity; the rest wait by priority. */
export class Batch {
  readonly cache = new PrefixCache();
  readonly counts: EngineCounts = {
    tokensProduced: 0,
    prefillTokens: 0,
    started: 0,
    finished: 0,
    cancelled: 0,
    requests: [],
  };
  private readonly running = new Set<Job>();
  private readonly load: LaggedValue<Load>;
  private waiting: Job[] = [];
  private stepMs: number;
  private stalled = false;
  private timer: NodeJS.Timeout | undefined;
  private dueMs = 0;

  constructor(private readonly options: EngineOptions) {
    this.stepMs = options.paceMs;
    this.load = new LaggedValue(options.reportLagMs, {running: 0, waiting: 0});
  }

  /** Load as it was one report lag ago. */
  get laggedLoad(): Load {
    return this.load.get();
  }

  /** Adds a generation and returns the function that cancels it. */
  add(generation: Generation, sink: GenerationSink): () => void {
    const writer = new OutputGenerator(generation, generation.resumeIds);
    const {requestId, resumeIds} = generation;
    const count = {requestId, resumedFrom: resumeIds.length, produced: 0};
    const job: Job = {generation, sink, writer, count, readyAtMs: 0};
    this.counts.requests.push(count);
    this.waiting.push(job);
    // Array.prototype.sort is stable: first come, first served at a priority.
    this.waiting.sort((a, b) => b.generation.priority - a.generation.priority);
    this.admit();
    return () => this.cancel(job);
  }

  /** Changes the pace, or stops all work. */
  setFault(fault: EngineFault, factor: number): void {
    this.stalled = fault === EngineFault.STALL;
    const slow = fault === EngineFault.SLOW ? factor : 1;
    this.stepMs = this.options.paceMs * slow;
    this.admit();
  }

  /** Stops the timer. */
  close(): void {
    this.stalled = true;
    clearTimeout(this.timer);
  }

  private admit(): void {
    while (!this.stalled && this.running.size < this.options.capacity) {
      const job = this.waiting.shift();
      if (job === undefined) break;
      this.start(job);
    }
    this.report();
    this.arm();
  }

  private start(job: Job): void {
    const {prompt} = job.generation;
    const context = {prompt, tokenIds: job.writer.tokenIds};
    const tokens = this.cache.uncachedTokens(context);
    const prefillMs = (tokens * this.options.prefillUsPerToken) / 1_000;
    job.readyAtMs = performance.now() + prefillMs;
    this.counts.prefillTokens += tokens;
    this.counts.started += 1;
    this.cache.add(context);
    this.running.add(job);
  }

  private arm(): void {
    if (this.timer !== undefined || this.stalled) return;
    if (this.running.size === 0) return;
    const now = performance.now();
    // Steps keep their rhythm, but missed ones are not made up for.
    this.dueMs = Math.max(this.dueMs + this.stepMs, now);
    if (this.dueMs > now + this.stepMs) this.dueMs = now + this.stepMs;
    this.timer = setTimeout(() => this.tick(), this.dueMs - now);
  }

  private tick(): void {
    this.timer = undefined;
    if (this.stalled) return;
    const now = performance.now();
    for (const job of this.running) {
      if (job.readyAtMs <= now) this.step(job);
    }
    this.admit();
  }

  private step(job: Job): void {
    if (this.crashes(job)) return this.options.exit();
    const ended = job.writer.finishReason;
    if (ended !== undefined) return this.finish(job, ended);
    if (this.endsEarly(job)) return this.finish(job, this.earlyReason());
    const token = job.writer.next();
    job.count.produced += 1;
    this.counts.tokensProduced += 1;
    job.sink.onToken(token);
    const reason = job.writer.finishReason;
    if (reason !== undefined) this.finish(job, reason);
  }

  private crashes({generation, count}: Job): boolean {
    const {crashOn} = this.options;
    if (crashOn === '' || !generation.prompt.includes(crashOn)) return false;
    const mark = CRASH_AFTER_MARK.exec(generation.prompt);
    const after = mark === null ? DEFAULT_CRASH_AFTER_TOKENS : Number(mark[1]);
    return count.produced >= after;
  }

  private endsEarly({count}: Job): boolean {
    if (this.options.earlyEnd === EarlyEnd.NEVER) return false;
    return count.resumedFrom > 0 && count.produced >= EARLY_END_AFTER_TOKENS;
  }

  private earlyReason(): FinishReason | undefined {
    if (this.options.earlyEnd === EarlyEnd.STOP) return FinishReason.STOP;
    if (this.options.earlyEnd === EarlyEnd.LENGTH) return FinishReason.LENGTH;
    return undefined;
  }

  private finish(job: Job, reason: FinishReason | undefined): void {
    this.release(job);
    this.counts.finished += 1;
    job.sink.onFinish(reason);
  }

  private cancel(job: Job): void {
    const waits = this.waiting.includes(job);
    if (!waits && !this.running.has(job)) return;
    this.waiting = this.waiting.filter((other) => other !== job);
    if (!waits) this.release(job);
    this.counts.cancelled += 1;
    this.admit();
  }

  private release(job: Job): void {
    this.running.delete(job);
    const {prompt} = job.generation;
    this.cache.add({prompt, tokenIds: job.writer.tokenIds});
  }

  private report(): void {
    const {running, waiting} = this;
    this.load.set({running: running.size, waiting: waiting.length});
  }
}

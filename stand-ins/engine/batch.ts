/** Continuous batching: one timer produces the next token of each generation. */
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

const CRASH_AFTER_PATTERN = /\[crash-after=(\d+)\]/;

/** Tokens before a crash if the prompt has no `[crash-after=N]`. */
const DEFAULT_CRASH_AFTER_TOKENS = 3;

/** Tokens produced after a resume before the generation ends early. */
const EARLY_END_AFTER_TOKENS = 5;

interface Job {
  readonly generation: Generation;
  readonly sink: GenerationSink;
  readonly generator: OutputGenerator;
  readonly count: RequestCount;
  /** End of prefill on the monotonic clock, in milliseconds. */
  readyAtMs: number;
}

/** Number of running and of waiting generations. */
export interface Load {
  readonly running: number;
  readonly waiting: number;
}

/** Runs generations up to the capacity and queues the rest by priority. */
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
  private nextStepMs = 0;

  constructor(private readonly options: EngineOptions) {
    this.stepMs = options.paceMs;
    this.load = new LaggedValue(options.reportLagMs, {running: 0, waiting: 0});
  }

  /** Load as of `reportLagMs` ago. */
  get laggedLoad(): Load {
    return this.load.get();
  }

  /** Adds a generation and returns a function that cancels it. */
  add(generation: Generation, sink: GenerationSink): () => void {
    const generator = new OutputGenerator(generation, generation.resumeIds);
    const {requestId, resumeIds} = generation;
    const count = {requestId, resumedFrom: resumeIds.length, produced: 0};
    const job: Job = {generation, sink, generator, count, readyAtMs: 0};
    this.counts.requests.push(count);
    this.waiting.push(job);
    // The sort is stable, so equal priorities run in order of arrival.
    this.waiting.sort((a, b) => b.generation.priority - a.generation.priority);
    this.admit();
    return () => this.cancel(job);
  }

  /** Applies a fault: `SLOW` multiplies the step time, `STALL` stops all work. */
  setFault(fault: EngineFault, factor: number): void {
    this.stalled = fault === EngineFault.STALL;
    const slow = fault === EngineFault.SLOW ? factor : 1;
    this.stepMs = this.options.paceMs * slow;
    this.admit();
  }

  /** Stops all work. */
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
    this.recordLoad();
    this.scheduleStep();
  }

  private start(job: Job): void {
    const {prompt} = job.generation;
    const context = {prompt, tokenIds: job.generator.tokenIds};
    const tokens = this.cache.uncachedTokens(context);
    const prefillMs = (tokens * this.options.prefillUsPerToken) / 1_000;
    job.readyAtMs = performance.now() + prefillMs;
    this.counts.prefillTokens += tokens;
    this.counts.started += 1;
    this.cache.add(context);
    this.running.add(job);
  }

  private scheduleStep(): void {
    if (this.timer !== undefined || this.stalled) return;
    if (this.running.size === 0) return;
    const now = performance.now();
    // Steps run at a fixed rate; missed steps are skipped, not caught up.
    this.nextStepMs = Math.max(this.nextStepMs + this.stepMs, now);
    if (this.nextStepMs > now + this.stepMs)
      this.nextStepMs = now + this.stepMs;
    this.timer = setTimeout(() => this.runStep(), this.nextStepMs - now);
  }

  private runStep(): void {
    this.timer = undefined;
    if (this.stalled) return;
    const now = performance.now();
    for (const job of this.running) {
      if (job.readyAtMs <= now) this.advance(job);
    }
    this.admit();
  }

  private advance(job: Job): void {
    if (this.shouldCrash(job)) return this.options.exit();
    const ended = job.generator.finishReason;
    if (ended !== undefined) return this.finish(job, ended);
    if (this.shouldEndEarly(job))
      return this.finish(job, this.earlyFinishReason());
    const token = job.generator.next();
    job.count.produced += 1;
    this.counts.tokensProduced += 1;
    job.sink.onToken(token);
    const reason = job.generator.finishReason;
    if (reason !== undefined) this.finish(job, reason);
  }

  private shouldCrash({generation, count}: Job): boolean {
    const {crashOn} = this.options;
    if (crashOn === '' || !generation.prompt.includes(crashOn)) return false;
    const match = CRASH_AFTER_PATTERN.exec(generation.prompt);
    const after =
      match === null ? DEFAULT_CRASH_AFTER_TOKENS : Number(match[1]);
    return count.produced >= after;
  }

  private shouldEndEarly({count}: Job): boolean {
    if (this.options.earlyEnd === EarlyEnd.NEVER) return false;
    return count.resumedFrom > 0 && count.produced >= EARLY_END_AFTER_TOKENS;
  }

  private earlyFinishReason(): FinishReason | undefined {
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
    const isWaiting = this.waiting.includes(job);
    if (!isWaiting && !this.running.has(job)) return;
    this.waiting = this.waiting.filter((other) => other !== job);
    if (!isWaiting) this.release(job);
    this.counts.cancelled += 1;
    this.admit();
  }

  private release(job: Job): void {
    this.running.delete(job);
    const {prompt} = job.generation;
    this.cache.add({prompt, tokenIds: job.generator.tokenIds});
  }

  private recordLoad(): void {
    const {running, waiting} = this;
    this.load.set({running: running.size, waiting: waiting.length});
  }
}

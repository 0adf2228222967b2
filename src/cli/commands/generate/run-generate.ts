import {sleep} from '../../../core/clock/index.js';
import {
  ENTRY_UNREACHABLE,
  Executed,
  RefusalReason,
} from '../../../core/errors/index.js';
import type {BackoffRange} from '../../backoff.js';
import {resolveBackoff} from '../../backoff.js';
import {COMPLETIONS_PATH} from '../../consts.js';
import {formatRefusal} from '../../http/index.js';
import {reportError} from '../../output/index.js';
import type {CliContext} from '../../types.js';
import {ExitStatus} from '../../types.js';
import {GenerationOutput} from './generation-output.js';
import {readStream} from './read-stream.js';
import type {GenerateOptions, StreamEnd} from './types.js';
import {StreamEndKind} from './types.js';

const BACKOFF: BackoffRange = {firstMs: 100, maxMs: 2_000};

/** Reasons for which one entry refuses requests that others may accept. */
const ENTRY_SPECIFIC_REASONS: ReadonlySet<string> = new Set([
  RefusalReason.LEAVING,
  RefusalReason.NOT_READY,
]);

/** Runs `generate`. */
export async function runGenerate(
  ctx: CliContext,
  options: GenerateOptions,
): Promise<ExitStatus> {
  return new ResumableGeneration(ctx, options).run();
}

/**
 * One generation. If its stream ends early, the output is resumed at the next
 * entry, until it is complete or the deadline passes.
 */
class ResumableGeneration {
  private readonly output: GenerationOutput;
  private readonly deadlineAtMs: number;
  private readonly signal: AbortSignal;
  private readonly body: string;
  private streamCount = 0;
  private consecutiveFailures = 0;

  constructor(
    private readonly ctx: CliContext,
    private readonly options: GenerateOptions,
  ) {
    this.output = new GenerationOutput({
      onText: (text) => this.showText(text),
      onRestart: () => this.showRestart(),
    });
    this.deadlineAtMs = ctx.clock.now() + options.deadline;
    this.signal = AbortSignal.timeout(options.deadline);
    this.body = createBody(options);
  }

  async run(): Promise<ExitStatus> {
    for (;;) {
      const previousEventId = this.output.lastEventId;
      const end = await this.readNextStream();
      if (end.kind === StreamEndKind.DONE) {
        return this.reportOutput();
      }
      if (end.kind === StreamEndKind.REFUSED && !this.canRetry(end)) {
        this.ctx.err(`\n${formatRefusal(end.problem)}\n`);
        return ExitStatus.REFUSED;
      }
      const hasProgress = this.output.lastEventId !== previousEventId;
      this.consecutiveFailures = hasProgress ? 1 : this.consecutiveFailures + 1;
      if (!(await this.waitForRetry(end))) {
        return this.reportFailure(end);
      }
    }
  }

  private readNextStream(): Promise<StreamEnd> {
    const {entry, key} = this.options;
    const base = entry[this.streamCount % entry.length] ?? '';
    this.streamCount++;
    const {output, body, signal} = this;
    const url = `${base}${COMPLETIONS_PATH}`;
    const leftMs = this.deadlineAtMs - this.ctx.clock.now();
    const deadlineMs = Math.max(1, Math.floor(leftMs));
    return readStream({url, key, body, output, deadlineMs, signal});
  }

  /**
   * Whether to retry after a refusal. Only a request that was not executed is
   * retried: a new one if another entry may accept it, a resumed one also if
   * the refusal gives a retry delay.
   */
  private canRetry(end: StreamEnd & {kind: StreamEndKind.REFUSED}): boolean {
    const {problem, retryAfterMs} = end;
    if (problem.ran !== Executed.NO) {
      return false;
    }
    const isResume = this.output.lastEventId !== undefined;
    return (
      ENTRY_SPECIFIC_REASONS.has(problem.reason) ||
      (isResume && retryAfterMs !== undefined)
    );
  }

  /** Waits before a retry; returns false if the deadline would pass first. */
  private async waitForRetry(end: StreamEnd): Promise<boolean> {
    const {clock, random} = this.ctx;
    const attempt = this.consecutiveFailures;
    const backoffMs = resolveBackoff({range: BACKOFF, attempt, random});
    const requestedMs =
      end.kind === StreamEndKind.DONE ? 0 : (end.retryAfterMs ?? 0);
    const delayMs = Math.max(backoffMs, requestedMs);
    if (clock.now() + delayMs >= this.deadlineAtMs) {
      return false;
    }
    this.ctx.err(`\n${describeEnd(end)}; trying again\n`);
    await sleep(clock, delayMs);
    return true;
  }

  private showText(text: string): void {
    if (this.options.json !== true) {
      this.ctx.out(text);
    }
  }

  private showRestart(): void {
    this.ctx.err('\nthe answer starts over; discard the text above\n');
  }

  private reportOutput(): ExitStatus {
    const {text, finishReason, restarts} = this.output;
    const report = {text, finishReason, restarts, streams: this.streamCount};
    this.ctx.out(
      this.options.json === true ? `${JSON.stringify(report)}\n` : '\n',
    );
    return ExitStatus.OK;
  }

  private reportFailure(end: StreamEnd): ExitStatus {
    this.ctx.err('\n');
    reportError(this.ctx, ENTRY_UNREACHABLE, describeEnd(end));
    return ExitStatus.FAILED;
  }
}

function createBody({model, prompt, maxTokens}: GenerateOptions): string {
  return JSON.stringify({model, prompt, max_tokens: maxTokens, stream: true});
}

function describeEnd(end: StreamEnd): string {
  switch (end.kind) {
    case StreamEndKind.DONE:
      return 'done';
    case StreamEndKind.BROKEN:
      return end.detail;
    case StreamEndKind.REFUSED:
      return formatRefusal(end.problem);
  }
}

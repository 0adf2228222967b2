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

/** Refusals of one entry that another entry need not give. */
const ENTRY_REASONS: ReadonlySet<string> = new Set([
  RefusalReason.LEAVING,
  RefusalReason.NOT_READY,
]);

/** Runs `generate`. */
export async function runGenerate(
  ctx: CliContext,
  options: GenerateOptions,
): Promise<ExitStatus> {
  return new GenerateRun(ctx, options).run();
}

/** One answer, over as many streams as it takes. */
class GenerateRun {
  private readonly answer: GenerationOutput;
  private readonly deadlineAt: number;
  private readonly signal: AbortSignal;
  private readonly body: string;
  private streams = 0;
  private failures = 0;

  constructor(
    private readonly ctx: CliContext,
    private readonly options: GenerateOptions,
  ) {
    this.answer = new GenerationOutput({
      onText: (text) => this.showText(text),
      onRestart: () => this.showRestart(),
    });
    this.deadlineAt = ctx.clock.now() + options.deadline;
    this.signal = AbortSignal.timeout(options.deadline);
    this.body = createBody(options);
  }

  async run(): Promise<ExitStatus> {
    for (;;) {
      const before = this.answer.lastEventId;
      const end = await this.readNext();
      if (end.kind === StreamEndKind.DONE) {
        return this.finish();
      }
      if (end.kind === StreamEndKind.REFUSED && !this.canRetry(end)) {
        this.ctx.err(`\n${formatRefusal(end.problem)}\n`);
        return ExitStatus.REFUSED;
      }
      const hasProgress = this.answer.lastEventId !== before;
      this.failures = hasProgress ? 1 : this.failures + 1;
      if (!(await this.waitForRetry(end))) {
        return this.giveUp(end);
      }
    }
  }

  private readNext(): Promise<StreamEnd> {
    const {entry, key} = this.options;
    const base = entry[this.streams % entry.length] ?? '';
    this.streams++;
    const {answer, body, signal} = this;
    const url = `${base}${COMPLETIONS_PATH}`;
    const leftMs = this.deadlineAt - this.ctx.clock.now();
    const deadlineMs = Math.max(1, Math.floor(leftMs));
    return readStream({url, key, body, answer, deadlineMs, signal});
  }

  private canRetry(end: StreamEnd & {kind: StreamEndKind.REFUSED}): boolean {
    const {problem, retryAfterMs} = end;
    if (problem.ran !== Executed.NO) {
      return false;
    }
    const isResume = this.answer.lastEventId !== undefined;
    return (
      ENTRY_REASONS.has(problem.reason) ||
      (isResume && retryAfterMs !== undefined)
    );
  }

  /** Returns false where the deadline comes first. */
  private async waitForRetry(end: StreamEnd): Promise<boolean> {
    const {clock, random} = this.ctx;
    const attempt = this.failures;
    const backoffMs = resolveBackoff({range: BACKOFF, attempt, random});
    const askedMs =
      end.kind === StreamEndKind.DONE ? 0 : (end.retryAfterMs ?? 0);
    const delayMs = Math.max(backoffMs, askedMs);
    if (clock.now() + delayMs >= this.deadlineAt) {
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

  private finish(): ExitStatus {
    const {text, finishReason, restarts} = this.answer;
    const report = {text, finishReason, restarts, streams: this.streams};
    this.ctx.out(
      this.options.json === true ? `${JSON.stringify(report)}\n` : '\n',
    );
    return ExitStatus.OK;
  }

  private giveUp(end: StreamEnd): ExitStatus {
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

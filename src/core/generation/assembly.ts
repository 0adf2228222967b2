/** Puts one answer together from the words of its attempts. */
import type {FinishReason, GenerationSpec, Token} from '../edges/index.js';
import {EndVerdict, validateEnd} from './validate-end.js';
import type {TokenLog} from './token-log.js';
import {LogState} from './token-log.js';

/** What a word of an attempt did to the answer. */
export enum StepKind {
  /** It is of no attempt that counts, or it was known. */
  IGNORED = 'ignored',
  APPENDED = 'appended',
  /** The attempt can no longer be trusted; another one must follow. */
  BROKEN = 'broken',
  /** The end has to be confirmed by another attempt. */
  UNCONFIRMED = 'unconfirmed',
  FINISHED = 'finished',
}

/** What happened, and how many tokens were new. */
export interface Step {
  readonly kind: StepKind;
  readonly appended: number;
}

const IGNORED: Step = {kind: StepKind.IGNORED, appended: 0};
const BROKEN: Step = {kind: StepKind.BROKEN, appended: 0};

/**
 * Takes only the next positions of the current attempt. Whatever is late,
 * doubled or of another attempt changes nothing.
 *
 * @example
 * const assembly = new Assembly({log, spec});
 * assembly.begin(attemptId);
 * assembly.takeTokens({attemptId, position: 0, tokens});
 */
export class Assembly {
  private currentId = '';
  private resumedAt = 0;

  constructor(
    private readonly options: {
      log: TokenLog;
      spec: Pick<GenerationSpec, 'maxTokens' | 'stop'>;
    },
  ) {}

  /** The attempt whose words count; empty for none. */
  get attemptId(): string {
    return this.currentId;
  }

  /** Tokens that the current attempt has added. */
  get progress(): number {
    return this.options.log.length - this.resumedAt;
  }

  /** From now on only this attempt's words count. */
  begin(attemptId: string): void {
    this.currentId = attemptId;
    this.resumedAt = this.options.log.length;
  }

  /** From now on no attempt's words count. */
  clearAttempt(): void {
    this.currentId = '';
  }

  receiveTokens(options: {
    attemptId: string;
    position: number;
    tokens: readonly Token[];
  }): Step {
    const {attemptId, position, tokens} = options;
    if (!this.counts(attemptId)) return IGNORED;
    const {log, spec} = this.options;
    if (position + tokens.length > spec.maxTokens) return BROKEN;
    const {appended, gap} = log.append({position, tokens});
    if (gap) return BROKEN;
    if (appended === 0) return IGNORED;
    return {kind: StepKind.APPENDED, appended};
  }

  receiveEnd(options: {
    attemptId: string;
    length: number;
    finishReason: FinishReason;
  }): Step {
    const {attemptId, length, finishReason} = options;
    if (!this.counts(attemptId)) return IGNORED;
    const {log, spec} = this.options;
    const verdict = validateEnd({
      end: {length, finishReason},
      spec,
      tokens: log.slice({from: 0}),
      resumedAt: this.resumedAt,
    });
    if (verdict === EndVerdict.BROKEN) return BROKEN;
    if (verdict === EndVerdict.CONFIRM) {
      return {kind: StepKind.UNCONFIRMED, appended: 0};
    }
    log.finish(finishReason);
    return {kind: StepKind.FINISHED, appended: 0};
  }

  private counts(attemptId: string): boolean {
    if (this.options.log.state !== LogState.RUNNING) return false;
    return attemptId !== '' && attemptId === this.currentId;
  }
}

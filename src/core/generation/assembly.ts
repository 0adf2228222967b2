/** Assembles one output from the messages of its attempts. */
import type {FinishReason, GenerationSpec, Token} from '../edges/index.js';
import {EndVerdict, validateEnd} from './validate-end.js';
import type {TokenLog} from './token-log.js';
import {LogState} from './token-log.js';

/** Effect of a message of an attempt on the output. */
export enum StepKind {
  /** The message is of another attempt, a duplicate or after the end. */
  IGNORED = 'ignored',
  APPENDED = 'appended',
  /** The message contradicts the output; another attempt must follow. */
  BROKEN = 'broken',
  /** The end has to be confirmed by another attempt. */
  UNCONFIRMED = 'unconfirmed',
  FINISHED = 'finished',
}

/** Result of receiving a message. */
export interface Step {
  readonly kind: StepKind;
  /** Number of new tokens. */
  readonly appended: number;
}

const IGNORED: Step = {kind: StepKind.IGNORED, appended: 0};
const BROKEN: Step = {kind: StepKind.BROKEN, appended: 0};

/**
 * Adds tokens to the log of an output. Accepts only the next positions of the
 * current attempt; messages that are late, duplicated or of another attempt
 * change nothing.
 *
 * @example
 * const assembly = new Assembly({log, spec});
 * assembly.begin(attemptId);
 * assembly.receiveTokens({attemptId, position: 0, tokens});
 */
export class Assembly {
  private currentId = '';
  /** Length of the log when the current attempt began, in tokens. */
  private resumePosition = 0;

  constructor(
    private readonly options: {
      log: TokenLog;
      spec: Pick<GenerationSpec, 'maxTokens' | 'stop'>;
    },
  ) {}

  /** Id of the current attempt; empty for none. */
  get attemptId(): string {
    return this.currentId;
  }

  /** Number of tokens that the current attempt has added. */
  get progress(): number {
    return this.options.log.length - this.resumePosition;
  }

  /** Makes an attempt the current one. */
  begin(attemptId: string): void {
    this.currentId = attemptId;
    this.resumePosition = this.options.log.length;
  }

  /** Clears the current attempt, so that all messages are ignored. */
  clearAttempt(): void {
    this.currentId = '';
  }

  receiveTokens(options: {
    attemptId: string;
    /** Position of the first token in the output. */
    position: number;
    tokens: readonly Token[];
  }): Step {
    const {attemptId, position, tokens} = options;
    if (!this.isCurrent(attemptId)) return IGNORED;
    const {log, spec} = this.options;
    if (position + tokens.length > spec.maxTokens) return BROKEN;
    const {appended, gap} = log.append({position, tokens});
    if (gap) return BROKEN;
    if (appended === 0) return IGNORED;
    return {kind: StepKind.APPENDED, appended};
  }

  receiveEnd(options: {
    attemptId: string;
    /** Length of the complete output, in tokens. */
    length: number;
    finishReason: FinishReason;
  }): Step {
    const {attemptId, length, finishReason} = options;
    if (!this.isCurrent(attemptId)) return IGNORED;
    const {log, spec} = this.options;
    const verdict = validateEnd({
      end: {length, finishReason},
      spec,
      tokens: log.slice({from: 0}),
      resumePosition: this.resumePosition,
    });
    if (verdict === EndVerdict.BROKEN) return BROKEN;
    if (verdict === EndVerdict.CONFIRM) {
      return {kind: StepKind.UNCONFIRMED, appended: 0};
    }
    log.finish(finishReason);
    return {kind: StepKind.FINISHED, appended: 0};
  }

  private isCurrent(attemptId: string): boolean {
    if (this.options.log.state !== LogState.RUNNING) return false;
    return attemptId !== '' && attemptId === this.currentId;
  }
}

/** The tokens of an output. */
import type {FinishReason, Token} from '../edges/engine-driver.js';

/** State of an output. */
export enum LogState {
  RUNNING = 'running',
  FINISHED = 'finished',
  /** No more tokens will be added, and the output is incomplete. */
  BROKEN = 'broken',
}

/** Result of an append. */
export interface AppendResult {
  /** Number of new tokens. */
  readonly appended: number;
  /** Number of tokens that were in the log already or came after its end. */
  readonly duplicates: number;
  /** Whether tokens are missing between the log and the appended ones. */
  readonly gap: boolean;
}

/**
 * The tokens of one output from position 0, without gaps. An agent uses it as
 * the journal of an attempt, an entry as its copy of an output.
 *
 * @example
 * const log = new TokenLog();
 * log.append({position: 0, tokens: [{id: 7, text: 'hoop'}]});
 */
export class TokenLog {
  private readonly tokens: Token[];
  private readonly listeners = new Set<() => void>();
  private currentState = LogState.RUNNING;
  private reason: FinishReason | undefined;

  /** Starts with the given tokens of an unfinished output. */
  constructor(prefix: readonly Token[] = []) {
    this.tokens = [...prefix];
  }

  get length(): number {
    return this.tokens.length;
  }

  get state(): LogState {
    return this.currentState;
  }

  /** Why the output finished; undefined until then. */
  get finishReason(): FinishReason | undefined {
    return this.reason;
  }

  /**
   * Adds the tokens that follow the end of the log. Tokens that are in the log
   * already are skipped. If there is a gap, no tokens are added.
   */
  append(options: {position: number; tokens: readonly Token[]}): AppendResult {
    const {position, tokens} = options;
    if (this.currentState !== LogState.RUNNING) {
      return {appended: 0, duplicates: tokens.length, gap: false};
    }
    if (position > this.tokens.length) {
      return {appended: 0, duplicates: 0, gap: true};
    }
    const skip = Math.min(this.tokens.length - position, tokens.length);
    for (let i = skip; i < tokens.length; i++) {
      this.tokens.push(tokens[i]!);
    }
    const appended = tokens.length - skip;
    if (appended > 0) this.notify();
    return {appended, duplicates: skip, gap: false};
  }

  /** Marks the output as complete. */
  finish(reason: FinishReason): void {
    if (this.currentState !== LogState.RUNNING) return;
    this.currentState = LogState.FINISHED;
    this.reason = reason;
    this.notify();
  }

  /** Marks the output as incomplete; no more tokens are added. */
  markBroken(): void {
    if (this.currentState !== LogState.RUNNING) return;
    this.currentState = LogState.BROKEN;
    this.notify();
  }

  /** Returns the tokens from a position on, at most `limit` of them. */
  slice(options: {from: number; limit?: number}): readonly Token[] {
    const {from, limit = this.tokens.length} = options;
    return this.tokens.slice(from, from + limit);
  }

  /** Calls `listener` after each change; the result unsubscribes. */
  subscribe(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => void this.listeners.delete(listener);
  }

  private notify(): void {
    for (const listener of [...this.listeners]) listener();
  }
}

import type {FinishReason, Token} from '../edges/engine-driver.js';

/** Whether an answer goes on. */
export enum LogState {
  RUNNING = 'running',
  FINISHED = 'finished',
  /** No more tokens will come, and the answer is not whole. */
  BROKEN = 'broken',
}

/** What an append did. */
export interface AppendResult {
  /** Tokens that were new. */
  readonly appended: number;
  /** Tokens that stood there already. */
  readonly duplicates: number;
  /** Tokens are missing between the log's end and the first one given. */
  readonly gap: boolean;
}

/**
 * The tokens of one answer from position 0 on, without holes. It is the
 * journal of an attempt at an agent and the copy of an answer at an entry.
 *
 * @example
 * const log = new TokenLog();
 * log.append({position: 0, tokens: [{id: 7, text: 'hoop'}]});
 */
export class TokenLog {
  private readonly tokens: Token[];
  private readonly listeners = new Set<() => void>();
  private current = LogState.RUNNING;
  private reason: FinishReason | undefined;

  /** Starts with the tokens of an answer so far. */
  constructor(prefix: readonly Token[] = []) {
    this.tokens = [...prefix];
  }

  get length(): number {
    return this.tokens.length;
  }

  get state(): LogState {
    return this.current;
  }

  /** Why the answer ended; undefined until it has. */
  get finishReason(): FinishReason | undefined {
    return this.reason;
  }

  /**
   * Adds the tokens that follow the log's end; those already there are
   * skipped, and a gap adds nothing.
   */
  append(options: {position: number; tokens: readonly Token[]}): AppendResult {
    const {position, tokens} = options;
    if (this.current !== LogState.RUNNING) {
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

  /** Ends the answer as whole. */
  finish(reason: FinishReason): void {
    if (this.current !== LogState.RUNNING) return;
    this.current = LogState.FINISHED;
    this.reason = reason;
    this.notify();
  }

  /** Ends the log without a whole answer. */
  markBroken(): void {
    if (this.current !== LogState.RUNNING) return;
    this.current = LogState.BROKEN;
    this.notify();
  }

  /** The tokens from a position on, at most `limit` of them. */
  slice(options: {from: number; limit?: number}): readonly Token[] {
    const {from, limit = this.tokens.length} = options;
    return this.tokens.slice(from, from + limit);
  }

  /** Calls `listener` after each change; the result removes it. */
  subscribe(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => void this.listeners.delete(listener);
  }

  private notify(): void {
    for (const listener of [...this.listeners]) listener();
  }
}

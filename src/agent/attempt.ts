/** One attempt at an answer, running at the engine beside this agent. */
import type {Clock} from '../core/clock/index.js';
import type {DriverError, EngineStream} from '../core/edges/index.js';
import {LogState, TokenLog} from '../core/generation/index.js';
import type {StartMessage} from '../core/protocol/index.js';

/** A crash of the engine under an attempt. */
export interface EngineCrash {
  readonly id: string;
  /** This attempt's request alone can have caused it. */
  readonly isCause: boolean;
}

/** An attempt with its journal. */
export class Attempt {
  /** The whole answer from position 0 on. */
  readonly journal: TokenLog;
  private stream: EngineStream | undefined;
  private crash: EngineCrash | undefined;
  private failureCause: DriverError | undefined;
  private readerCount = 0;
  /** When the last reader left or the attempt ended. */
  private unreadSinceMs: number;
  private lastTokenMs: number;

  constructor(
    readonly request: StartMessage,
    private readonly clock: Clock,
  ) {
    this.journal = new TokenLog(request.resumeFrom);
    this.unreadSinceMs = clock.now();
    this.lastTokenMs = clock.now();
  }

  /** Why the attempt broke; undefined while it runs or when it is whole. */
  get failure(): DriverError | undefined {
    return this.failureCause;
  }

  /** The crash that broke the attempt; undefined for any other end. */
  get engineCrash(): EngineCrash | undefined {
    return this.crash;
  }

  get hasReaders(): boolean {
    return this.readerCount > 0;
  }

  get lastTokenAtMs(): number {
    return this.lastTokenMs;
  }

  /** Time without a reader in milliseconds; 0 while there is one. */
  unreadForMs(): number {
    return this.readerCount > 0 ? 0 : this.clock.now() - this.unreadSinceMs;
  }

  run(stream: EngineStream): void {
    this.stream = stream;
  }

  recordToken(): void {
    this.lastTokenMs = this.clock.now();
  }

  fail(err: DriverError, crash?: EngineCrash): void {
    if (this.journal.state !== LogState.RUNNING) return;
    this.crash = crash;
    this.failureCause = err;
    this.stream?.cancel();
    this.journal.markBroken();
  }

  cancel(): void {
    this.stream?.cancel();
    this.journal.markBroken();
  }

  addReader(): void {
    this.readerCount++;
  }

  removeReader(): void {
    this.readerCount--;
    this.unreadSinceMs = this.clock.now();
  }
}

/** One attempt at a generation, run by the engine of this agent. */
import type {Clock} from '../core/clock/index.js';
import type {DriverError, EngineStream} from '../core/edges/index.js';
import {LogState, TokenLog} from '../core/generation/index.js';
import type {StartMessage} from '../core/protocol/index.js';

/** An engine crash that ended an attempt. */
export interface EngineCrash {
  readonly id: string;
  /**
   * Whether this attempt's request caused the crash: it is the only one of the
   * running requests that also ran in some earlier crash.
   */
  readonly isCause: boolean;
}

/** An attempt, with the journal of its output. */
export class Attempt {
  /** Tokens of the whole output, including those of earlier attempts. */
  readonly journal: TokenLog;
  private stream: EngineStream | undefined;
  private crash: EngineCrash | undefined;
  private failureCause: DriverError | undefined;
  private readerCount = 0;
  /** When the attempt was created or its last reader was removed. */
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

  /** Why the attempt failed; undefined while it runs or once it finished. */
  get failure(): DriverError | undefined {
    return this.failureCause;
  }

  /** The crash that ended the attempt; undefined if none did. */
  get engineCrash(): EngineCrash | undefined {
    return this.crash;
  }

  get hasReaders(): boolean {
    return this.readerCount > 0;
  }

  /** When the last token arrived, or the attempt was created. */
  get lastTokenAtMs(): number {
    return this.lastTokenMs;
  }

  /** Time without a reader in milliseconds; 0 while there is one. */
  unreadForMs(): number {
    return this.readerCount > 0 ? 0 : this.clock.now() - this.unreadSinceMs;
  }

  /** Sets the engine's stream, which is cancelled with the attempt. */
  attachStream(stream: EngineStream): void {
    this.stream = stream;
  }

  recordToken(): void {
    this.lastTokenMs = this.clock.now();
  }

  fail(err: DriverError, crash?: EngineCrash): void {
    if (this.journal.state !== LogState.RUNNING) return;
    this.crash = crash;
    this.failureCause = err;
    this.breakOff();
  }

  cancel(): void {
    this.breakOff();
  }

  /** The journal ends even if the stream cannot be cancelled. */
  private breakOff(): void {
    try {
      this.stream?.cancel();
    } finally {
      this.journal.markBroken();
    }
  }

  addReader(): void {
    this.readerCount++;
  }

  removeReader(): void {
    this.readerCount--;
    this.unreadSinceMs = this.clock.now();
  }
}

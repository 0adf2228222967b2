/** Buffers the output of one generation at an entry, for callers to read. */
import type {OutputPart, OutputReader, Token} from '../../core/edges/index.js';
import {OutputPartKind} from '../../core/edges/index.js';
import type {Refusal} from '../../core/errors/index.js';
import {Executed, RefusalReason} from '../../core/errors/index.js';
import {
  encodeEventId,
  LogState,
  TokenLog,
} from '../../core/generation/index.js';
import type {LineageMessage} from '../../core/protocol/index.js';
import {MAX_TOKENS_PER_PART} from '../consts.js';

/** An attempt and the agent incarnation that runs it. */
export interface AttemptLocation {
  readonly attemptId: string;
  readonly agentVm: string;
  readonly agentIncarnation: string;
}

/** An attempt that wrote part of the output, and the range that it wrote. */
export interface LineageStep {
  readonly location: AttemptLocation;
  readonly beginPosition: number;
  /** Positions below this were written by this attempt or an earlier one. */
  endPosition: number;
}

/** The tokens so far, the attempts that generated them, and the readers. */
export class OutputBuffer {
  readonly log: TokenLog;
  private readonly lineage: LineageStep[] = [];
  private failure: Refusal | undefined;
  private readonly readers = new Set<BufferReader>();
  private retainCount = 0;
  private unreadSinceMs: number;

  constructor(
    private readonly options: {
      requestId: string;
      clientAccount: string;
      fingerprint: string;
      entryVm: string;
      now: () => number;
    },
    prefix: readonly Token[] = [],
  ) {
    this.log = new TokenLog(prefix);
    this.unreadSinceMs = options.now();
  }

  get requestId(): string {
    return this.options.requestId;
  }

  get refusal(): Refusal | undefined {
    return this.failure;
  }

  /** The attempt that generates the next tokens; undefined before the first. */
  get location(): AttemptLocation | undefined {
    return this.lineage.at(-1)?.location;
  }

  /** Time without a reader in milliseconds; 0 while there is one. */
  unreadForMs(): number {
    const inUse = this.readers.size + this.retainCount > 0;
    return inUse ? 0 : this.options.now() - this.unreadSinceMs;
  }

  /** Whether the output is of the same account and request. */
  belongsTo(owner: {clientAccount: string; fingerprint: string}): boolean {
    return (
      owner.clientAccount === this.options.clientAccount &&
      owner.fingerprint === this.options.fingerprint
    );
  }

  /** Records a new attempt, which resumes from the end of the buffer. */
  beginAttempt(location: AttemptLocation): void {
    this.addLineageStep({location, position: this.log.length});
  }

  /** Attributes the tokens from position 0 on to this attempt alone. */
  resetLineage(location: AttemptLocation): void {
    this.lineage.length = 0;
    this.addLineageStep({location, position: 0});
  }

  /** Records that an attempt took over at a position. */
  addLineageStep(options: {location: AttemptLocation; position: number}): void {
    const {location, position} = options;
    const last = this.lineage.at(-1);
    if (last !== undefined) last.endPosition = position;
    const endPosition = Number.POSITIVE_INFINITY;
    this.lineage.push({location, beginPosition: position, endPosition});
  }

  /** Records the attempt that another entry reports for the tokens that follow. */
  applyLineage(step: Omit<LineageMessage, 'type' | 'attemptId'>): void {
    const {writerId: attemptId, agentVm, agentIncarnation, position} = step;
    const location = {attemptId, agentVm, agentIncarnation};
    if (position === 0) this.resetLineage(location);
    else this.addLineageStep({location, position});
  }

  /** The attempts so far, in order. */
  lineageSteps(): readonly LineageStep[] {
    return this.lineage;
  }

  /** Keeps the buffer in use until the returned function is called. */
  retain(): () => void {
    this.retainCount++;
    return () => {
      this.retainCount--;
      this.unreadSinceMs = this.options.now();
    };
  }

  /** Whether a reader's position is beyond the end of the buffer. */
  hasReaderAhead(): boolean {
    return [...this.readers].some((reader) => reader.isAhead());
  }

  /**
   * Restarts the readers beyond the end. Their callers must discard the tokens
   * that they received before.
   */
  restartReadersAhead(): void {
    for (const reader of this.readers) {
      if (reader.isAhead()) reader.restart();
    }
  }

  /** Whether the tokens that a caller received are a prefix of this buffer. */
  covers(options: {attemptId: string; position: number}): boolean {
    const {attemptId, position} = options;
    const step = this.lineage.findLast(
      (s) => s.location.attemptId === attemptId,
    );
    if (step === undefined) return false;
    return position <= Math.min(step.endPosition, this.log.length);
  }

  fail(refusal: Refusal): void {
    this.failure = refusal;
    this.log.markBroken();
  }

  /** Opens a reader that begins at a position. */
  read(options: {position: number; restarted: boolean}): OutputReader {
    const reader: BufferReader = new BufferReader({
      buffer: this,
      ...options,
      onClose: () => {
        this.readers.delete(reader);
        this.unreadSinceMs = this.options.now();
      },
    });
    this.readers.add(reader);
    return reader;
  }

  /** Returns the event ID of a position. */
  eventIdAt(position: number): string {
    const {requestId, entryVm} = this.options;
    const location = this.location ?? {
      attemptId: 'none',
      agentVm: 'none',
      agentIncarnation: 'none',
    };
    return encodeEventId({requestId, entryVm, position, ...location});
  }
}

/** The part that a closed reader returns. */
const CLOSED_PART: OutputPart = {
  kind: OutputPartKind.REFUSED,
  refusal: {
    reason: RefusalReason.ANSWER_LOST,
    ran: Executed.UNKNOWN,
    detail: 'the reader is closed',
  },
};

/** The part for a reader whose position is beyond the complete output. */
const BEYOND_END_PART: OutputPart = {
  kind: OutputPartKind.REFUSED,
  refusal: {
    reason: RefusalReason.BAD_EVENT_ID,
    ran: Executed.NO,
    detail: 'the answer is shorter than this position',
  },
};

class BufferReader implements OutputReader {
  readonly requestId: string;
  private isRestarted: boolean;
  private position: number;
  private isClosed = false;
  private wake: (() => void) | undefined;
  private readonly unsubscribe: () => void;

  constructor(
    private readonly options: {
      buffer: OutputBuffer;
      restarted: boolean;
      position: number;
      onClose: () => void;
    },
  ) {
    this.requestId = options.buffer.requestId;
    this.isRestarted = options.restarted;
    this.position = options.position;
    this.unsubscribe = options.buffer.log.subscribe(() => this.wake?.());
  }

  get restarted(): boolean {
    return this.isRestarted;
  }

  /**
   * Whether the position is beyond the end of the buffer. This is possible only
   * before the first part is read, as the buffer never shrinks.
   */
  isAhead(): boolean {
    return this.position > this.options.buffer.log.length;
  }

  restart(): void {
    this.position = 0;
    this.isRestarted = true;
    this.wake?.();
  }

  async next(): Promise<OutputPart> {
    for (;;) {
      if (this.isClosed) return CLOSED_PART;
      const part = this.takePart();
      if (part !== undefined) return part;
      await new Promise<void>((resolve) => {
        this.wake = resolve;
      });
    }
  }

  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.unsubscribe();
    this.wake?.();
    this.options.onClose();
  }

  private takePart(): OutputPart | undefined {
    const {buffer} = this.options;
    const {log} = buffer;
    if (this.position < log.length) return this.takeTokens();
    if (log.state === LogState.RUNNING) return undefined;
    if (log.finishReason !== undefined) {
      if (this.isAhead()) return BEYOND_END_PART;
      return {
        kind: OutputPartKind.FINISHED,
        finishReason: log.finishReason,
        completionTokens: log.length,
        eventId: buffer.eventIdAt(this.position),
      };
    }
    if (buffer.refusal === undefined) return undefined;
    return {kind: OutputPartKind.REFUSED, refusal: buffer.refusal};
  }

  private takeTokens(): OutputPart {
    const {buffer} = this.options;
    const tokens = buffer.log.slice({
      from: this.position,
      limit: MAX_TOKENS_PER_PART,
    });
    this.position += tokens.length;
    const eventId = buffer.eventIdAt(this.position);
    return {kind: OutputPartKind.TOKENS, tokens, eventId};
  }
}

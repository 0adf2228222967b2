/** An entry's copy of one answer, which callers read. */
import type {OutputPart, OutputReader, Token} from '../../core/edges/index.js';
import {OutputPartKind} from '../../core/edges/index.js';
import type {Refusal} from '../../core/errors/index.js';
import {Executed, RefusalReason} from '../../core/errors/index.js';
import {
  encodeEventId,
  LogState,
  TokenLog,
} from '../../core/generation/index.js';
import {MAX_TOKENS_PER_PART} from '../consts.js';

/** Where an attempt runs. */
export interface AttemptLocation {
  readonly attemptId: string;
  readonly agentVm: string;
  readonly agentIncarnation: string;
}

/** An attempt of this answer, where it took over and where the next did. */
export interface LineageStep {
  readonly location: AttemptLocation;
  readonly beginPosition: number;
  /** Positions below this came from this attempt or one before it. */
  endPosition: number;
}

/** The answer so far, the attempts it came from and its readers. */
export class OutputBuffer {
  readonly log: TokenLog;
  private readonly lineage: LineageStep[] = [];
  private givenUp: Refusal | undefined;
  private readonly readers = new Set<CopyReader>();
  private holders = 0;
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
    return this.givenUp;
  }

  /** The attempt that writes now. */
  get location(): AttemptLocation | undefined {
    return this.lineage.at(-1)?.location;
  }

  /** Time without a reader in milliseconds; 0 while there is one. */
  unreadForMs(): number {
    const inUse = this.readers.size + this.holders > 0;
    return inUse ? 0 : this.options.now() - this.unreadSinceMs;
  }

  belongsTo(owner: {clientAccount: string; fingerprint: string}): boolean {
    return (
      owner.clientAccount === this.options.clientAccount &&
      owner.fingerprint === this.options.fingerprint
    );
  }

  /** A new attempt goes on from the end of the copy. */
  beginAttempt(place: AttemptLocation): void {
    this.addLineageStep({location: place, position: this.log.length});
  }

  /** What the copy holds and will hold is from this attempt on. */
  resetLineage(place: AttemptLocation): void {
    this.lineage.length = 0;
    this.addLineageStep({location: place, position: 0});
  }

  /** An attempt that another entry recorded took over at a position. */
  addLineageStep(options: {location: AttemptLocation; position: number}): void {
    const {location: place, position} = options;
    const last = this.lineage.at(-1);
    if (last !== undefined) last.endPosition = position;
    const endPosition = Number.POSITIVE_INFINITY;
    this.lineage.push({location: place, beginPosition: position, endPosition});
  }

  /** The attempts so far, in order. */
  lineageSteps(): readonly LineageStep[] {
    return this.lineage;
  }

  /** Keeps the copy in use until the result is called. */
  retain(): () => void {
    this.holders++;
    return () => {
      this.holders--;
      this.unreadSinceMs = this.options.now();
    };
  }

  /** Whether a reader stands beyond what the copy holds. */
  hasReaderAhead(): boolean {
    return [...this.readers].some((reader) => reader.isAhead());
  }

  /** Readers beyond the copy's end begin anew, told to discard. */
  restartReadersAhead(): void {
    for (const reader of this.readers) {
      if (reader.isAhead()) reader.restart();
    }
  }

  /** Whether what a caller has of an attempt is the start of this copy. */
  covers(options: {attemptId: string; position: number}): boolean {
    const {attemptId, position} = options;
    const step = this.lineage.findLast(
      (s) => s.location.attemptId === attemptId,
    );
    if (step === undefined) return false;
    return position <= Math.min(step.endPosition, this.log.length);
  }

  fail(refusal: Refusal): void {
    this.givenUp = refusal;
    this.log.markBroken();
  }

  /** Opens a reader that begins at a position. */
  read(options: {position: number; restarted: boolean}): OutputReader {
    const reader: CopyReader = new CopyReader({
      copy: this,
      ...options,
      onClose: () => {
        this.readers.delete(reader);
        this.unreadSinceMs = this.options.now();
      },
    });
    this.readers.add(reader);
    return reader;
  }

  /** The event identity of a position. */
  eventIdAt(position: number): string {
    const {requestId, entryVm} = this.options;
    const place = this.location ?? {
      attemptId: 'none',
      agentVm: 'none',
      agentIncarnation: 'none',
    };
    return encodeEventId({requestId, entryVm, position, ...place});
  }
}

/** What a reader that is closed reads. */
const CLOSED_PART: OutputPart = {
  kind: OutputPartKind.REFUSED,
  refusal: {
    reason: RefusalReason.ANSWER_LOST,
    ran: Executed.UNKNOWN,
    detail: 'the reader is closed',
  },
};

/** What a reader that claims more than the whole answer reads. */
const BEYOND_END_PART: OutputPart = {
  kind: OutputPartKind.REFUSED,
  refusal: {
    reason: RefusalReason.BAD_EVENT_ID,
    ran: Executed.NO,
    detail: 'the answer is shorter than this position',
  },
};

class CopyReader implements OutputReader {
  readonly requestId: string;
  private isRestarted: boolean;
  private position: number;
  private closed = false;
  private wake: (() => void) | undefined;
  private readonly unsubscribe: () => void;

  constructor(
    private readonly options: {
      copy: OutputBuffer;
      restarted: boolean;
      position: number;
      onClose: () => void;
    },
  ) {
    this.requestId = options.copy.requestId;
    this.isRestarted = options.restarted;
    this.position = options.position;
    this.unsubscribe = options.copy.log.subscribe(() => this.wake?.());
  }

  get restarted(): boolean {
    return this.isRestarted;
  }

  /** Only before the first part: the copy never shrinks. */
  isAhead(): boolean {
    return this.position > this.options.copy.log.length;
  }

  restart(): void {
    this.position = 0;
    this.isRestarted = true;
    this.wake?.();
  }

  async next(): Promise<OutputPart> {
    for (;;) {
      if (this.closed) return CLOSED_PART;
      const part = this.takePart();
      if (part !== undefined) return part;
      await new Promise<void>((resolve) => {
        this.wake = resolve;
      });
    }
  }

  close(): void {
    if (this.closed) return;
    this.closed = true;
    this.unsubscribe();
    this.wake?.();
    this.options.onClose();
  }

  private takePart(): OutputPart | undefined {
    const {copy} = this.options;
    const {log} = copy;
    if (this.position < log.length) return this.takeTokens();
    if (log.state === LogState.RUNNING) return undefined;
    if (log.finishReason !== undefined) {
      if (this.isAhead()) return BEYOND_END_PART;
      return {
        kind: OutputPartKind.FINISHED,
        finishReason: log.finishReason,
        completionTokens: log.length,
        eventId: copy.eventIdAt(this.position),
      };
    }
    if (copy.refusal === undefined) return undefined;
    return {kind: OutputPartKind.REFUSED, refusal: copy.refusal};
  }

  private takeTokens(): OutputPart {
    const {copy} = this.options;
    const tokens = copy.log.slice({
      from: this.position,
      limit: MAX_TOKENS_PER_PART,
    });
    this.position += tokens.length;
    const eventId = copy.eventIdAt(this.position);
    return {kind: OutputPartKind.TOKENS, tokens, eventId};
  }
}

/** One target's part in a stream. */
import type {
  TargetResponseHead,
  KvCopyReference,
  Exchange,
} from '../../core/edges/direct-target.js';
import {ExchangeFailure} from '../../core/edges/direct-target.js';
import {RetryReason} from '../../core/errors/refusals.js';
import {enginePriority} from '../../core/placing/index.js';
import {retryReasonOf} from '../../core/retrying/index.js';
import type {RawEvent} from '../../core/streams/index.js';
import {EventSplitter} from '../../core/streams/index.js';
import type {Target, TargetWork} from '../../core/targets/index.js';
import {AnswerBody, MAX_ANSWER_BYTES, TOO_LARGE} from '../answer-body.js';
import {COPY_ANSWER_MS, READING_CHECK_MS} from '../consts.js';
import type {DirectContext, DirectWork} from '../context.js';
import {noteFailureAt} from '../note-failure.js';
import {toTargetRequest} from '../target-request.js';
import type {RunCopy} from './copy-keeper.js';
import {CopyKeeper} from './copy-keeper.js';
import {SilenceWatch} from './silence-watch.js';

const OK = 200;

/** Why a target is of no more use to a stream. */
export interface TargetLoss {
  readonly reason: RetryReason;
  readonly detail: string;
  /** Present where the exchange itself failed. */
  readonly failure?: ExchangeFailure;
}

/** Hears what a target writes. */
export interface TryListener {
  onEvent(head: TargetResponseHead, event: RawEvent): void;
  /** The target has ended its stream. */
  onEnd(head: TargetResponseHead): void;
  /** The target answered with something else than a stream. */
  onOtherAnswer(head: TargetResponseHead, body: Uint8Array): void;
  onLost(loss: TargetLoss): void;
}

/** What a target is given to do. */
export interface TryOptions {
  readonly ctx: DirectContext;
  readonly work: DirectWork;
  readonly target: Target;
  /** Chooses where the run's memory is copied to. */
  readonly chooseCopy: () => Target | undefined;
  /** Tokens that the run holds in memory at its end. */
  readonly tokens: number;
  /** The last event that the caller has. */
  readonly lastEventId?: number;
  /** Whether the caller has got events from another target before. */
  readonly isUnderWay: boolean;
  /** The copy from which the target goes on. */
  readonly copyFrom?: KvCopyReference;
  readonly listener: TryListener;
}

/**
 * A stream at one target, from the request to its end or its loss. After
 * either, the listener hears nothing more.
 *
 * @example
 * const run = new StreamTry(options);
 * run.cancel();
 */
export class StreamTry {
  readonly target: Target;
  private readonly keeper: CopyKeeper;
  private readonly work: TargetWork;
  private readonly exchange: Exchange;
  private readonly watch: SilenceWatch;
  private readonly splitter = new EventSplitter();
  /** The body of an answer that is no stream. */
  private readonly body = new AnswerBody();
  private head?: TargetResponseHead;
  private count = 0;
  private isOver = false;

  constructor(private readonly options: TryOptions) {
    const {ctx, target, tokens, copyFrom, chooseCopy} = options;
    this.target = target;
    this.work = target.begin({tokens});
    this.keeper = new CopyKeeper({
      ctx,
      work: options.work,
      runner: target,
      tokens,
      choose: chooseCopy,
    });
    const {isResumable, maxPauseMs} = options.work.admitted.route;
    this.watch = new SilenceWatch({
      ctx,
      target,
      maxPauseMs,
      onLost: (silentMs) =>
        this.lose({
          reason: RetryReason.ENGINE_STALLED,
          detail: `silent for ${silentMs} ms`,
        }),
    });
    if (isResumable) {
      this.watch.start(
        copyFrom === undefined ? READING_CHECK_MS : COPY_ANSWER_MS,
      );
    }
    this.exchange = this.send();
  }

  /** The newest copy of the run's memory. */
  get copy(): RunCopy | undefined {
    return this.keeper.copy;
  }

  /** When the request came to the target, on the process's clock. */
  get beganMs(): number {
    return this.work.startedAtMs;
  }

  /** Events that this target has written. */
  get events(): number {
    return this.count;
  }

  /** Ends the work at the target. */
  cancel(): void {
    this.leave({copyIsNeeded: false});
  }

  private leave(options: {copyIsNeeded: boolean}): void {
    if (this.isOver) return;
    this.close(options);
    this.exchange.cancel();
  }

  private send(): Exchange {
    const {ctx, work, target, lastEventId, copyFrom} = this.options;
    const {isUnderWay} = this.options;
    const {route, account} = work.admitted;
    return ctx.client.send({
      target: target.record,
      maxConnections: work.service.maxConnections,
      req: toTargetRequest({
        work,
        leftMs: work.endMs - ctx.clock.now(),
        priority: enginePriority({route, account, isResumed: isUnderWay}),
        lastEventId: lastEventId?.toString(),
        copyTo: this.copy?.holder.record.address,
        copyFrom,
      }),
      listener: {
        onHead: (head) => this.onHead(head),
        onData: (chunk) => this.onData(chunk),
        onComplete: () => this.onComplete(),
        onFailure: (failure, detail) => this.onFailure(failure, detail),
      },
    });
  }

  private onHead(head: TargetResponseHead): void {
    this.head = head;
    if (head.load !== undefined) this.target.recordLoad(head.load);
  }

  private onData(chunk: Uint8Array): void {
    if (this.isOver || this.head === undefined) return;
    if (this.head.status !== OK) {
      this.body.push(chunk);
      if (this.body.isTooLarge) this.loseEndless();
      return;
    }
    for (const event of this.splitter.push(chunk)) {
      this.noteEvent();
      this.options.listener.onEvent(this.head, event);
      // The listener may have left this target.
      if (this.isOver) return;
    }
    if (this.splitter.pendingBytes > MAX_ANSWER_BYTES) this.loseEndless();
  }

  /** The target sends without end what is no event and no answer. */
  private loseEndless(): void {
    const failure = ExchangeFailure.BROKEN;
    noteFailureAt(this.target, failure);
    this.lose({reason: RetryReason.ENGINE_DIED, failure, detail: TOO_LARGE});
  }

  private noteEvent(): void {
    this.count++;
    this.work.isPrefilling = false;
    this.target.recordSeen();
    if (!this.options.work.admitted.route.isResumable) return;
    this.watch.noteEvent();
    this.keeper.check();
  }

  private onComplete(): void {
    const {head} = this;
    if (this.isOver || head === undefined) return;
    if (head.status !== OK) {
      this.close({copyIsNeeded: false});
      this.options.listener.onOtherAnswer(head, this.body.toBytes());
    } else if (this.splitter.pendingBytes > 0) {
      const reason = RetryReason.ENGINE_DIED;
      this.lose({reason, detail: 'ended within an event'});
    } else {
      this.close({copyIsNeeded: false});
      this.target.recordSuccess();
      this.options.listener.onEnd(head);
    }
  }

  private onFailure(failure: ExchangeFailure, detail: string): void {
    if (this.isOver) return;
    noteFailureAt(this.target, failure);
    this.options.ctx.prober.sweepAround(this.target);
    const reason = retryReasonOf(failure, RetryReason.ENGINE_DIED);
    this.lose({reason, failure, detail: `${failure}: ${detail}`});
  }

  private lose(loss: TargetLoss): void {
    this.leave({copyIsNeeded: true});
    this.options.listener.onLost(loss);
  }

  private close({copyIsNeeded}: {copyIsNeeded: boolean}): void {
    this.isOver = true;
    this.watch.stop();
    this.target.end(this.work);
    this.keeper.close({isNeeded: copyIsNeeded});
  }
}

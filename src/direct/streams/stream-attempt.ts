/** One attempt of a stream at one target. */
import type {MemoryShare} from '../../core/bytes/index.js';
import type {CopyProgress} from '../../core/copies/index.js';
import {mayHaveCopy} from '../../core/copies/index.js';
import type {
  TargetResponseHead,
  KvCopyReference,
  Exchange,
} from '../../core/edges/direct-target.js';
import {ExchangeFailure} from '../../core/edges/direct-target.js';
import {RetryReason} from '../../core/errors/refusals.js';
import {enginePriority} from '../../core/placing/index.js';
import {showsHarmlessParts} from '../../core/poison/index.js';
import {retryReasonOf} from '../../core/retrying/index.js';
import type {RawEvent} from '../../core/streams/index.js';
import {EventSplitter, ReaderPause} from '../../core/streams/index.js';
import type {Target, TargetWork} from '../../core/targets/index.js';
import type {ResponseOverflow} from '../response-body.js';
import {
  ResponseBody,
  MAX_RESPONSE_BYTES,
  NO_MEMORY,
  TOO_LARGE,
} from '../response-body.js';
import {RESUME_CHECK_MS, PREFILL_CHECK_MS} from '../consts.js';
import type {DirectWork, RequestContext} from '../context.js';
import {recordNotice, recordTargetFailure} from '../record-exchange.js';
import {runAll} from '../request-boundary.js';
import {toTargetRequest} from '../target-request.js';
import type {KvCacheCopy, ResumableCopy} from './kv-cache-replicator.js';
import {KvCacheReplicator} from './kv-cache-replicator.js';
import {StallDetector} from './stall-detector.js';
import {canResumeAt} from './stream-placer.js';
import type {TargetLoss} from './target-loss.js';

const OK = 200;

/** Most bytes without data between two events of a stream. */
const MAX_IDLE_BYTES = 16 * 1024;

/** Events in addition to one for each token, such as a final one. */
const EXTRA_EVENTS = 64;

/** Most events of a stream whose size the caller did not declare. */
const MAX_UNSIZED_EVENTS = 100_000;

/** Receives the events and the outcome of an attempt. */
export interface AttemptListener {
  onEvent(head: TargetResponseHead, event: RawEvent): void;
  /** All events that arrived together have been passed on. */
  onEventsPassed(): void;
  /** The target has ended its stream. */
  onEnd(head: TargetResponseHead): void;
  /** The target sent a response that is not a stream. */
  onOtherResponse(head: TargetResponseHead, body: Uint8Array): void;
  /** The target failed, stalled or did not accept the request. */
  onLost(loss: TargetLoss): void;
}

/** Parameters and dependencies of an attempt. */
export interface StreamAttemptOptions {
  readonly ctx: RequestContext;
  readonly work: DirectWork;
  readonly target: Target;
  /** Chooses the target that holds a copy of the KV cache. */
  readonly chooseCopyHolder: () => Target | undefined;
  /** The same after new reports; undefined if copies are not looked for. */
  readonly findCopyHolder?: () => Promise<Target | undefined>;
  /** Tokens in the KV cache at the end of the generation. */
  readonly tokens: number;
  /** Id of the last event that the caller received. */
  readonly lastEventId?: number;
  /** Whether earlier attempts have sent events to the caller. */
  readonly hasDelivered: boolean;
  /** The KV cache copy from which the target resumes. */
  readonly copyFrom?: KvCopyReference;
  /** Room that the target has reserved for the attempt. */
  readonly reservation?: string;
  readonly listener: AttemptListener;
}

/**
 * A stream at one target, from the request until the stream ends or the target
 * is lost. After that the listener is not called again.
 *
 * @example
 * const attempt = new StreamAttempt(options);
 * attempt.start();
 * attempt.cancel();
 */
export class StreamAttempt {
  readonly target: Target;
  private readonly replicator: KvCacheReplicator;
  private readonly targetWork: TargetWork;
  private exchange?: Exchange;
  private readonly stallDetector: StallDetector;
  private readonly splitter = new EventSplitter();
  /** The body of a response that is not a stream. */
  private readonly body: ResponseBody;
  private head?: TargetResponseHead;
  private receivedCount = 0;
  /** Bytes without data since the last event. */
  private idleBytes = 0;
  private readonly maxEvents: number;
  /** Memory of an incomplete event. */
  private readonly eventMemory: MemoryShare;
  /** When the first event was received, on the monotonic clock. */
  private firstEventAtMs?: number;
  private isOver = false;
  private readonly readerPause = new ReaderPause();

  constructor(private readonly options: StreamAttemptOptions) {
    const {ctx, target, tokens, chooseCopyHolder, findCopyHolder} = options;
    this.target = target;
    this.replicator = new KvCacheReplicator({
      ctx,
      work: options.work,
      runner: target,
      tokens,
      chooseHolder: chooseCopyHolder,
      findHolder: findCopyHolder,
    });
    this.body = new ResponseBody(ctx);
    this.eventMemory = ctx.memory.open();
    this.maxEvents = maxEventsOf(options.work);
    const {maxPauseMs} = options.work.admitted.route;
    this.stallDetector = new StallDetector({
      ctx,
      target,
      attemptId: options.work.req.attemptId,
      isResumed: options.hasDelivered,
      maxPauseMs,
      // Where nothing is read again, another target may go on at once.
      hasCopy: () =>
        this.mayResumeFromCopy || options.work.service.engine === undefined,
      onStalled: (silentMs) =>
        this.reportLoss({
          reason: RetryReason.ENGINE_STALLED,
          detail: `silent for ${silentMs} ms`,
        }),
    });
    this.targetWork = target.begin({tokens});
  }

  /** Sends the request. */
  start(): void {
    const {work, copyFrom} = this.options;
    if (work.admitted.route.isResumable) {
      this.stallDetector.start(
        copyFrom === undefined ? PREFILL_CHECK_MS : RESUME_CHECK_MS,
      );
    }
    this.exchange = this.send();
  }

  /** The newest copy of the KV cache. */
  get copy(): KvCacheCopy | undefined {
    return this.replicator.copy;
  }

  /** Whether a copy may exist and its holder would accept the generation. */
  get mayResumeFromCopy(): boolean {
    const {copy} = this;
    return copy !== undefined && this.mayHaveCopy && canResumeAt(copy.holder);
  }

  /** The copy from which another target may resume; undefined if none. */
  get resumableCopy(): ResumableCopy | undefined {
    const {copy, writingMs, receivedCount: events} = this;
    if (copy === undefined || !this.mayHaveCopy) return undefined;
    return {...copy, isHarmless: showsHarmlessParts({writingMs, events})};
  }

  /** Whether a part of the KV cache may have reached the holder of the copy. */
  get mayHaveCopy(): boolean {
    return mayHaveCopy(this.copyProgress);
  }

  /** How far its copy may have come. */
  get copyProgress(): CopyProgress {
    return {
      hasHolder: this.copy !== undefined,
      events: this.receivedCount,
      writingMs: this.writingMs,
    };
  }

  /** Whether it was to resume from a copy. */
  get usesCopy(): boolean {
    return this.copyFrom !== undefined;
  }

  /** The copy from which it was to resume. */
  get copyFrom(): KvCopyReference | undefined {
    return this.options.copyFrom;
  }

  /** When the attempt started, in milliseconds on the monotonic clock. */
  get startedMs(): number {
    return this.targetWork.startedAtMs;
  }

  /** Number of events received from this target. */
  get eventCount(): number {
    return this.receivedCount;
  }

  /** Time since the first event from this target, in milliseconds. */
  get writingMs(): number {
    const {firstEventAtMs} = this;
    if (firstEventAtMs === undefined) return 0;
    return this.options.ctx.clock.now() - firstEventAtMs;
  }

  /** Stops reading, while the caller does not keep up. */
  pause(): void {
    if (this.isOver) return;
    this.readerPause.begin(this.options.ctx.clock.now());
    this.stallDetector.suspend();
    this.exchange?.pause();
  }

  resume(): void {
    if (this.isOver) return;
    this.readerPause.end(this.options.ctx.clock.now());
    this.stallDetector.resume();
    this.exchange?.resume();
  }

  /** Cancels the work at the target. */
  cancel(): void {
    this.stop({copyIsNeeded: false});
  }

  private stop(options: {copyIsNeeded: boolean}): void {
    if (this.isOver) return;
    this.close(options);
    this.exchange?.cancel();
  }

  /** Gives back what the attempt holds, at whichever point it has failed. */
  release(): void {
    this.isOver = true;
    runAll([
      () => this.exchange?.cancel(),
      () => this.body.release(),
      () => this.eventMemory.release(),
      () => this.stallDetector.stop(),
      () => this.target.end(this.targetWork),
      () => this.replicator.close({isNeeded: false}),
    ]);
  }

  private send(): Exchange {
    const {ctx, work, target, lastEventId, copyFrom} = this.options;
    const {hasDelivered, reservation} = this.options;
    const {route, account} = work.admitted;
    return ctx.client.send({
      target: target.record,
      maxConnections: work.service.maxConnections,
      req: toTargetRequest({
        work,
        leftMs: work.deadlineAtMs - ctx.clock.now(),
        priority: enginePriority({route, account, isResumed: hasDelivered}),
        lastEventId: lastEventId?.toString(),
        copyTo: this.copy?.holder.record.address,
        copyFrom,
        reservation,
      }),
      listener: ctx.boundary.guardListener({
        onNotice: (notice) => recordNotice({ctx, target, notice}),
        onHead: (head) => this.onHead(head),
        onData: (chunk) => this.onData(chunk),
        onComplete: () => this.onComplete(),
        onFailure: (failure, detail) => this.onFailure(failure, detail),
      }),
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
      const {overflow} = this.body;
      if (overflow !== undefined) this.failOver(overflow);
      return;
    }
    this.passEvents(this.head, chunk);
    this.options.listener.onEventsPassed();
    if (this.isOver) return;
    const {pendingBytes} = this.splitter;
    if (pendingBytes > MAX_RESPONSE_BYTES) this.failOver(TOO_LARGE);
    else if (!this.eventMemory.resize(pendingBytes)) this.failOver(NO_MEMORY);
  }

  private passEvents(head: TargetResponseHead, chunk: Uint8Array): void {
    for (const event of this.splitter.push(chunk)) {
      if (event.hasData) this.recordEvent();
      else this.idleBytes += event.bytes.length;
      if (this.idleBytes > MAX_IDLE_BYTES) {
        this.failUnbounded(`${this.idleBytes} bytes without an event`);
        return;
      }
      if (this.receivedCount > this.maxEvents) {
        this.failUnbounded(`over ${this.maxEvents} events`);
        return;
      }
      this.options.listener.onEvent(head, event);
      // The listener may have cancelled this attempt.
      if (this.isOver) return;
    }
  }

  /** The target sends more than a sound one does. */
  private failUnbounded(detail: string): void {
    this.failOver({failure: ExchangeFailure.BROKEN, detail});
  }

  private failOver({failure, detail}: ResponseOverflow): void {
    recordTargetFailure(this.target, failure);
    this.reportLoss({
      reason: RetryReason.ENGINE_DIED,
      failure,
      detail,
    });
  }

  private recordEvent(): void {
    this.receivedCount++;
    this.idleBytes = 0;
    this.firstEventAtMs ??= this.options.ctx.clock.now();
    this.targetWork.isPrefilling = false;
    this.target.recordSeen();
    if (!this.options.work.admitted.route.isResumable) return;
    this.stallDetector.recordEvent();
    this.replicator.maintainCopy();
  }

  private onComplete(): void {
    const {head} = this;
    if (this.isOver || head === undefined) return;
    if (!head.isSelfDelimited) this.logConnectionEnd(head);
    if (head.status !== OK) {
      const body = this.body.toBytes();
      this.close({copyIsNeeded: false});
      this.options.listener.onOtherResponse(head, body);
    } else if (this.wasCutOff(head)) {
      const reason = RetryReason.ENGINE_DIED;
      const detail = `stream cut off after ${this.receivedCount} events`;
      this.reportLoss({reason, detail});
    } else {
      this.close({copyIsNeeded: false});
      this.target.recordSuccess();
      this.options.listener.onEnd(head);
    }
  }

  private onFailure(failure: ExchangeFailure, detail: string): void {
    if (this.isOver) return;
    if (this.wasCutOffUnread(failure)) {
      const reason = RetryReason.CALLER_SLOW;
      this.reportLoss({reason, failure, detail: `unread: ${detail}`});
      return;
    }
    recordTargetFailure(this.target, failure);
    if (failure !== ExchangeFailure.HELD_BACK)
      this.options.ctx.prober.probeDataCentreOf(this.target);
    const reason = retryReasonOf(failure, RetryReason.ENGINE_DIED);
    this.reportLoss({reason, failure, detail: `${failure}: ${detail}`});
  }

  private wasCutOffUnread(failure: ExchangeFailure): boolean {
    if (failure !== ExchangeFailure.BROKEN) return false;
    return this.readerPause.explainsLoss(this.options.ctx.clock.now());
  }

  /**
   * Whether a stream ended within an event. An end that only the connection
   * marks may fall within the first event before any of its bytes.
   */
  private wasCutOff({isSelfDelimited}: TargetResponseHead): boolean {
    if (this.splitter.pendingBytes > 0) return true;
    return !isSelfDelimited && this.receivedCount === 0;
  }

  /** Only the connection tells that such a body has ended. */
  private logConnectionEnd({status}: TargetResponseHead): void {
    this.options.ctx.logger.info('stream ended with its connection', {
      id: this.options.work.req.attemptId,
      target: this.target.id,
      status,
      events: this.receivedCount,
      pendingBytes: this.splitter.pendingBytes,
    });
  }

  private reportLoss(loss: TargetLoss): void {
    this.stop({copyIsNeeded: true});
    this.options.listener.onLost(loss);
  }

  private close({copyIsNeeded}: {copyIsNeeded: boolean}): void {
    this.isOver = true;
    this.body.release();
    this.eventMemory.release();
    this.stallDetector.stop();
    this.target.end(this.targetWork);
    this.replicator.close({isNeeded: copyIsNeeded});
  }
}

/** An event has one token or more. */
function maxEventsOf({req}: DirectWork): number {
  const tokens = req.generation?.maxOutputTokens;
  return tokens === undefined ? MAX_UNSIZED_EVENTS : tokens + EXTRA_EVENTS;
}

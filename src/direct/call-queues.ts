/** Plain calls of each service that wait for room at its targets. */
import {
  CallQueue,
  estimateRoom,
  ServiceTime,
} from '../core/call-queue/index.js';
import type {
  CallPreview,
  HeldCall,
  QueuedCall,
  Room,
} from '../core/call-queue/index.js';
import type {Clock, RandomSource, TimerHandle} from '../core/clock/index.js';
import type {DirectTargets} from '../core/edges/direct-target.js';
import type {Logger} from '../core/logs/index.js';
import type {Metrics} from '../core/metrics/index.js';
import {CounterName} from '../core/metrics/index.js';
import type {Supervisor} from '../core/supervision/index.js';
import {TaskName} from '../core/supervision/index.js';
import {EXEMPT_BODY_BYTES} from '../core/targets/body-allowance.js';
import type {Target, TargetSet} from '../core/targets/index.js';
import {CALL_QUEUE_CHECK_MS} from './consts.js';
import type {DirectWork} from './context.js';

/** How the wait of a call has ended, as label of the metric. */
enum QueueOutcome {
  SENT = 'sent',
  REFUSED = 'refused',
}

/** Dependencies of the queues. */
export interface CallQueuesOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly targets: TargetSet;
  readonly client: DirectTargets;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly supervisor: Supervisor;
}

/** Targets that have room, if they do not tell it. */
const UNKNOWN_ROOM: Room = {
  hasFreeSlot: true,
  waitMs: 0,
  serviceMs: 0,
  intervalMs: 0,
  isFull: false,
};

/** A call that asks to be sent. */
export interface CallEntry {
  readonly work: DirectWork;
  /** Whether the call may be sent to a target; all of them may by default. */
  readonly mayUse?: (target: Target) => boolean;
  /** Whether the entry held the call back when it was to be sent. */
  readonly wasHeldBack?: boolean;
  readonly onSend: () => void;
  readonly onRefuse: (retryAfterMs: number) => void;
}

/**
 * Keeps the queue of each service. Calls wait for room at targets that tell how
 * slow they are, and for a free connection at any.
 *
 * @example
 * const leave = queues.enter({work, onSend, onRefuse});
 */
export class CallQueues {
  private readonly queues = new Map<string, ServiceQueue>();

  constructor(private readonly options: CallQueuesOptions) {}

  /** Sends a call now or later, or refuses it; returns how to leave. */
  enter(options: CallEntry): () => void {
    const {name} = options.work.service;
    let queue = this.queues.get(name);
    if (queue === undefined) {
      queue = new ServiceQueue({...this.options, service: name});
      this.queues.set(name, queue);
    }
    return queue.enter(options);
  }

  /** What the queue of a service would do with a call; changes nothing. */
  preview(service: string, call: QueuedCall): CallPreview {
    const queue = this.queues.get(service);
    const fresh = () => new ServiceQueue({...this.options, service});
    return (queue ?? fresh()).preview(call);
  }

  /** Records a response of a target; `scale` is that of `ServiceTime`. */
  recordServed(service: string, sample: {heldMs: number; scale: number}): void {
    this.queues.get(service)?.time.add(sample);
  }

  /** Decides anew on the waiting calls of a service. */
  drain(service: string): void {
    this.queues.get(service)?.drain();
  }
}

/** The queue of one service; it is looked at while calls wait. */
class ServiceQueue {
  readonly time = new ServiceTime();
  private readonly queue: CallQueue;
  private timer?: TimerHandle;
  private startedMs = 0;
  /** Connections to each target, as configured when the last call came. */
  private maxConnections = Number.POSITIVE_INFINITY;

  constructor(private readonly options: CallQueuesOptions & {service: string}) {
    this.queue = new CallQueue({
      ...options,
      roomOf: () => this.room(),
      hasConnection: () => !this.isHeldBack({bodyBytes: 0}),
    });
  }

  enter(options: CallEntry): () => void {
    const {work, mayUse, wasHeldBack, onSend, onRefuse} = options;
    const {route, account} = work.admitted;
    const call = {
      priority: account?.priority ?? route.priority,
      objectiveAtMs: work.req.receivedMs + route.latencyObjectiveMs,
      deadlineAtMs: work.deadlineAtMs,
      clientAccount: account?.clientAccount,
    };
    const bodyBytes = work.req.body.length;
    const {maxConnections} = work.service;
    this.maxConnections = maxConnections;
    const held: HeldCall = {
      isLarge: bodyBytes > EXEMPT_BODY_BYTES,
      isHeldBack: () => this.isHeldBack({bodyBytes, mayUse, maxConnections}),
    };
    let hasWaited = false;
    this.queue.enter({
      call,
      held,
      wasHeldBack,
      onSend: () => {
        if (hasWaited) this.count(QueueOutcome.SENT);
        onSend();
      },
      onRefuse: (retryAfterMs) => {
        this.count(QueueOutcome.REFUSED);
        onRefuse(retryAfterMs);
      },
    });
    hasWaited = true;
    this.watch();
    return () => this.queue.leave(call);
  }

  preview(call: QueuedCall): CallPreview {
    const targets = this.options.targets.peekOfService(this.options.service);
    return this.queue.preview(call, this.roomAt(targets));
  }

  drain(): void {
    this.queue.drain();
    this.watch();
  }

  private room(): Room {
    const {targets, service} = this.options;
    return this.roomAt(targets.ofService(service));
  }

  private roomAt(targets: readonly Target[]): Room {
    const serviceMs = this.time.meanMs;
    if (serviceMs === undefined) return UNKNOWN_ROOM;
    return estimateRoom({targets, serviceMs}) ?? {...UNKNOWN_ROOM, serviceMs};
  }

  /**
   * Whether no target may be sent a call with such a body, though there are some.
   * One that does not respond counts only if none does.
   */
  private isHeldBack(call: {
    bodyBytes: number;
    mayUse?: (target: Target) => boolean;
    maxConnections?: number;
  }): boolean {
    const {client, service, targets} = this.options;
    const {bodyBytes, mayUse = () => true} = call;
    const {maxConnections = this.maxConnections} = call;
    const left = targets.ofService(service).filter(mayUse);
    const responding = left.filter((target) => !target.isPaused());
    const usable = responding.length > 0 ? responding : left;
    const canTake = ({record: target}: Target) =>
      client.canTake({target, maxConnections, bodyBytes});
    return usable.length > 0 && !usable.some(canTake);
  }

  private count(label: QueueOutcome): void {
    this.options.metrics.count(CounterName.QUEUED_CALLS, {label});
  }

  /** Looks at the queue at intervals while calls wait, as reports age. */
  private watch(): void {
    const {clock, logger, service, supervisor} = this.options;
    const waiting = this.queue.size;
    if (waiting > 0 === (this.timer !== undefined)) return;
    if (waiting > 0) {
      this.startedMs = clock.now();
      logger.info('calls wait for room at targets', {service, ...this.room()});
      this.timer = clock.repeat({
        periodMs: CALL_QUEUE_CHECK_MS,
        run: supervisor.guard({name: TaskName.CALL}, () => this.drain()),
      });
      return;
    }
    this.timer?.cancel();
    this.timer = undefined;
    const forMs = Math.round(clock.now() - this.startedMs);
    logger.info('no call waits for room at targets', {service, forMs});
  }
}

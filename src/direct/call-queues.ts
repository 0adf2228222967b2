/** Plain calls of each service that wait for room at its targets. */
import {
  CallQueue,
  estimateRoom,
  ServiceTime,
} from '../core/call-queue/index.js';
import type {CallPreview, QueuedCall, Room} from '../core/call-queue/index.js';
import type {Clock, RandomSource, TimerHandle} from '../core/clock/index.js';
import type {Logger} from '../core/logs/index.js';
import type {Metrics} from '../core/metrics/index.js';
import {CounterName} from '../core/metrics/index.js';
import type {Supervisor} from '../core/supervision/index.js';
import {TaskName} from '../core/supervision/index.js';
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

/**
 * Keeps the queue of each service. Calls to targets that do not tell how slow
 * they are never wait.
 *
 * @example
 * const leave = queues.enter({work, onSend, onRefuse});
 */
export class CallQueues {
  private readonly queues = new Map<string, ServiceQueue>();

  constructor(private readonly options: CallQueuesOptions) {}

  /** Sends a call now or later, or refuses it; returns how to leave. */
  enter(options: {
    work: DirectWork;
    onSend: () => void;
    onRefuse: (retryAfterMs: number) => void;
  }): () => void {
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

  constructor(private readonly options: CallQueuesOptions & {service: string}) {
    this.queue = new CallQueue({...options, roomOf: () => this.room()});
  }

  enter(options: {
    work: DirectWork;
    onSend: () => void;
    onRefuse: (retryAfterMs: number) => void;
  }): () => void {
    const {work, onSend, onRefuse} = options;
    const {route, account} = work.admitted;
    const call = {
      priority: account?.priority ?? route.priority,
      objectiveAtMs: work.req.receivedMs + route.latencyObjectiveMs,
      deadlineAtMs: work.deadlineAtMs,
    };
    let hasWaited = false;
    this.queue.enter({
      call,
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
    return estimateRoom({targets, serviceMs}) ?? UNKNOWN_ROOM;
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

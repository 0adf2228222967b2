/** The requests of one service at this entry: waiting and in flight. */
import type {Clock, RandomSource} from '../clock/index.js';
import {PriorityClass} from '../config/types.js';
import type {Refusal} from '../errors/refusals.js';
import {Executed, RefusalReason} from '../errors/refusals.js';
import {NO_SLOTS_GRACE_MS, SLOT_TURNAROUND_MS} from './consts.js';
import {DrainRate} from './drain-rate.js';
import type {FairItem} from './fair-queue.js';
import {FairQueue} from './fair-queue.js';
import {RetryAfterSchedule} from './retry-after-schedule.js';
import {ServiceTimeEstimator} from './service-time-estimator.js';
import {TicketOutcome, WorkKind} from './types.js';

/** A request that waits or is in flight. */
export interface PoolRequest extends FairItem {
  readonly kind: WorkKind;
  readonly priorityClass: PriorityClass;
  readonly deadlineAtMs: number;
  /** Time of dispatch; 0 while it waits. */
  startedAtMs: number;
  /** The request is let in. */
  onStart(): void;
  /** The request is refused; it is not in the pool any more. */
  onRefuse(refusal: Refusal): void;
}

/** The request that gives way first when the queue is full. */
export interface QueueRank {
  readonly request: PoolRequest;
  readonly lane: number;
  readonly weightedLength: number;
}

const CLASSES: readonly PriorityClass[] = [
  PriorityClass.HIGH,
  PriorityClass.NORMAL,
  PriorityClass.LOW,
];

/** Resumes of a class go before its new work. */
const LANES_PER_CLASS = 2;

/**
 * Decides which requests of a service start, wait or are refused. It holds
 * no request that cannot be answered by its deadline.
 *
 * @example
 * const pool = new ServicePool({clock, random});
 * pool.resize({slots: 16, resumeSlots: 1});
 * if (pool.canBeMet(request)) pool.offer(request);
 */
export class ServicePool {
  private readonly lanes: ReadonlyArray<FairQueue<PoolRequest>>;
  private readonly times = new ServiceTimeEstimator();
  private readonly drainRate = new DrainRate();
  private readonly returns: RetryAfterSchedule;
  private slots = 0;
  private resumeSlots = 0;
  /** Slots for new work when there last were any. */
  private drainSlots = 1;
  private inFlight = 0;
  private noSlotsSinceMs: number;

  constructor(private readonly options: {clock: Clock; random: RandomSource}) {
    const count = CLASSES.length * LANES_PER_CLASS;
    this.lanes = Array.from({length: count}, () => new FairQueue());
    this.returns = new RetryAfterSchedule(options);
    this.noSlotsSinceMs = options.clock.now();
  }

  /** Requests that wait. */
  get waiting(): number {
    return this.lanes.reduce((sum, lane) => sum + lane.size, 0);
  }

  /** Requests that were let in and have not ended. */
  get running(): number {
    return this.inFlight;
  }

  /** Takes over new capacity and checks all that waits against it. */
  resize(options: {slots: number; resumeSlots: number}): void {
    const {slots, resumeSlots} = options;
    this.slots = slots;
    this.resumeSlots = resumeSlots;
    if (slots > 0) {
      this.noSlotsSinceMs = this.options.clock.now();
      this.drainSlots = Math.max(1, slots - resumeSlots);
    }
    this.drain();
    this.refuseUnreachable();
  }

  /** Whether a new request can be answered in time, as far as is known. */
  canMeetDeadline(request: PoolRequest): boolean {
    const nowMs = this.options.clock.now();
    const leftMs = request.deadlineAtMs - nowMs;
    const size = request.cost;
    if (this.canStartNow(request)) {
      return leftMs > 0 && leftMs >= this.times.shortestMs({size, nowMs});
    }
    const lane = laneOf(request);
    const ahead = this.lanes.slice(0, lane);
    const before =
      ahead.reduce((sum, queue) => sum + queue.size, 0) +
      this.lanes[lane]!.countAhead(request.flow);
    const waitMs = (before + 1) * this.intervalMs();
    return leftMs > 0 && waitMs + this.times.conservativeMs(size) <= leftMs;
  }

  /** Starts a request or lets it wait; ask `canBeMet` first. */
  submit(request: PoolRequest): void {
    this.lanes[laneOf(request)]!.push(request);
    this.drain();
    if (this.waiting > 0)
      this.drainRate.recordWaiting(this.options.clock.now());
  }

  /** Counts a request that runs already. */
  addRunning(request: PoolRequest): void {
    this.start(request);
  }

  /** Takes a request out of the queue; false where it does not wait. */
  remove(request: PoolRequest): boolean {
    const removed = this.lanes[laneOf(request)]!.remove(request);
    if (this.waiting === 0) this.drainRate.recordEmpty();
    return removed;
  }

  /** Refuses a request that waits, for want of room in the queue. */
  evict(request: PoolRequest): void {
    if (this.remove(request)) this.refuse(request, RefusalReason.OVERLOADED);
  }

  /** Frees the slot of a request that has ended. */
  release(request: PoolRequest, outcome: TicketOutcome): void {
    this.inFlight--;
    this.learn(request, outcome);
    this.drain();
  }

  /** The request that gives way first; undefined where none has to. */
  lowestRank(): QueueRank | undefined {
    for (let lane = this.lanes.length - 1; lane >= 0; lane--) {
      if (isResumeLane(lane)) continue;
      const longest = this.lanes[lane]!.longestFlow();
      if (longest === undefined) continue;
      return {
        request: longest.last,
        lane,
        weightedLength: longest.weightedLength,
      };
    }
    return undefined;
  }

  /** What a request would be in the queue, if it waited. */
  rankOf(request: PoolRequest): QueueRank {
    const lane = laneOf(request);
    const count = this.lanes[lane]!.countOf(request.flow) + 1;
    return {request, lane, weightedLength: count / request.weight};
  }

  /** Whether a request would start at once. */
  canStartNow(request: PoolRequest): boolean {
    const lane = laneOf(request);
    const ahead = this.lanes.slice(0, lane + 1).some((q) => q.size > 0);
    return !ahead && this.inFlight < this.slotsOf(lane);
  }

  /** Time after which a refused caller should come back. */
  nextRetryAfterMs(): number {
    const intervalMs = this.intervalMs();
    const waitMs = this.waiting * intervalMs;
    const nowMs = this.options.clock.now();
    return this.returns.next({nowMs, waitMs, intervalMs});
  }

  /** Tells a request's caller that it is refused, and when to come back. */
  refuse(request: PoolRequest, reason: RefusalReason): void {
    request.onRefuse({
      reason,
      // A part of the answer that a resume continues was computed before.
      ran: request.kind === WorkKind.NEW ? Executed.NO : Executed.UNKNOWN,
      detail: `${this.waiting} requests wait for ${this.slots} slots`,
      retryAfterMs: this.nextRetryAfterMs(),
    });
  }

  private drain(): void {
    for (const [index, lane] of this.lanes.entries()) {
      while (lane.size > 0 && this.inFlight < this.slotsOf(index)) {
        this.startOrRefuse(lane);
      }
    }
  }

  private startOrRefuse(lane: FairQueue<PoolRequest>): void {
    const request = lane.peek()!;
    if (!this.isWorthStarting(request)) {
      this.remove(request);
      this.refuse(request, RefusalReason.DEADLINE_UNREACHABLE);
      return;
    }
    lane.shift();
    this.noteDeparture();
    this.start(request);
    request.onStart();
  }

  private noteDeparture(): void {
    const nowMs = this.options.clock.now();
    const stillWaiting = this.waiting > 0;
    this.drainRate.recordDeparture({nowMs, stillWaiting});
  }

  private isWorthStarting(request: PoolRequest): boolean {
    const nowMs = this.options.clock.now();
    const leftMs = request.deadlineAtMs - nowMs;
    const size = request.cost;
    // Where nobody else wants the slot, trying costs little and shows
    // whether the service has become faster.
    const neededMs =
      this.waiting > 1
        ? this.times.conservativeMs(size)
        : this.times.shortestMs({size, nowMs});
    return leftMs > 0 && leftMs >= neededMs;
  }

  private start(request: PoolRequest): void {
    this.inFlight++;
    request.startedAtMs = this.options.clock.now();
  }

  private learn(request: PoolRequest, outcome: TicketOutcome): void {
    if (request.kind === WorkKind.RUNNING) return;
    const nowMs = this.options.clock.now();
    const heldMs = nowMs - request.startedAtMs;
    const size = request.cost;
    if (outcome !== TicketOutcome.FAILED) {
      this.times.add({heldMs, size, nowMs});
    }
    const unitMs = this.times.expectedMs(1);
    if (unitMs === 0) return;
    const cost = heldMs / unitMs - size;
    this.lanes[laneOf(request)]!.charge({...request, cost});
  }

  private refuseUnreachable(): void {
    const nowMs = this.options.clock.now();
    if (this.slots === 0) {
      const withoutMs = nowMs - this.noSlotsSinceMs;
      if (withoutMs > NO_SLOTS_GRACE_MS) this.refuseAll();
    }
    const intervalMs = this.intervalMs();
    let waitMs = intervalMs;
    for (const request of this.lanes.flatMap((lane) => lane.ordered())) {
      const neededMs = waitMs + this.times.conservativeMs(request.cost);
      const leftMs = request.deadlineAtMs - nowMs;
      if (leftMs > 0 && neededMs <= leftMs) {
        waitMs += intervalMs;
        continue;
      }
      this.remove(request);
      this.refuse(request, RefusalReason.DEADLINE_UNREACHABLE);
    }
  }

  private refuseAll(): void {
    for (const request of this.lanes.flatMap((lane) => lane.ordered())) {
      this.remove(request);
      this.refuse(request, RefusalReason.NO_TARGET);
    }
  }

  /** Time between two requests that leave the queue; 0 while unknown. */
  private intervalMs(): number {
    const possibleMs = this.times.meanHeldMs() / this.drainSlots;
    const nowMs = this.options.clock.now();
    return Math.max(possibleMs, this.drainRate.intervalMs(nowMs));
  }

  /** Slots that a lane may use; new work leaves some for resumes. */
  private slotsOf(lane: number): number {
    const slots = this.slots + this.turnSlots();
    return isResumeLane(lane) ? slots : slots - this.resumeSlots;
  }

  /** Requests under way to a slot that comes free, by Little's law. */
  private turnSlots(): number {
    const heldMs = this.times.meanHeldMs();
    if (heldMs === 0) return 0;
    return Math.floor(this.slots * Math.min(1, SLOT_TURNAROUND_MS / heldMs));
  }
}

function laneOf(request: PoolRequest): number {
  const rank = CLASSES.indexOf(request.priorityClass) * LANES_PER_CLASS;
  return request.kind === WorkKind.NEW ? rank + 1 : rank;
}

function isResumeLane(lane: number): boolean {
  return lane % LANES_PER_CLASS === 0;
}

/** The waiting and in-flight requests of one service at this entry. */
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
  /** Time of dispatch; 0 while the request waits. */
  startedAtMs: number;
  /** Called when the request is admitted. */
  onStart(): void;
  /** Called when the request is refused and no longer in the pool. */
  onRefuse(refusal: Refusal): void;
}

/**
 * Rank of a request when the queue is full: requests with a higher lane index
 * are evicted first, and within a lane those with a higher weighted length.
 */
export interface QueueRank {
  readonly request: PoolRequest;
  /** Index of the request's queue; lower lanes are served first. */
  readonly lane: number;
  /** Client account's waiting requests in the lane, divided by its weight. */
  readonly weightedLength: number;
}

const PRIORITY_CLASSES: readonly PriorityClass[] = [
  PriorityClass.HIGH,
  PriorityClass.NORMAL,
  PriorityClass.LOW,
];

/** Each class has a lane for resumed requests and then one for new requests. */
const LANES_PER_CLASS = 2;

/**
 * Decides which requests of a service start, wait or are refused. Requests
 * that are not expected to finish by their deadline are refused.
 *
 * @example
 * const pool = new ServicePool({clock, random});
 * pool.resize({slots: 16, resumeSlots: 1});
 * if (pool.canMeetDeadline(request)) pool.submit(request);
 */
export class ServicePool {
  private readonly lanes: ReadonlyArray<FairQueue<PoolRequest>>;
  private readonly serviceTimes = new ServiceTimeEstimator();
  private readonly drainRate = new DrainRate();
  private readonly retryAfterSchedule: RetryAfterSchedule;
  private slots = 0;
  private resumeSlots = 0;
  /** Slots for new requests when the service last had any slots. */
  private newWorkSlots = 1;
  private inFlight = 0;
  private noSlotsSinceMs: number;

  constructor(private readonly options: {clock: Clock; random: RandomSource}) {
    const count = PRIORITY_CLASSES.length * LANES_PER_CLASS;
    this.lanes = Array.from({length: count}, () => new FairQueue());
    this.retryAfterSchedule = new RetryAfterSchedule(options);
    this.noSlotsSinceMs = options.clock.now();
  }

  /** Number of waiting requests. */
  get waiting(): number {
    return this.lanes.reduce((sum, lane) => sum + lane.size, 0);
  }

  /** Number of admitted requests that have not ended. */
  get running(): number {
    return this.inFlight;
  }

  /** Applies new capacity and refuses waiting requests that it cannot serve. */
  resize(options: {slots: number; resumeSlots: number}): void {
    const {slots, resumeSlots} = options;
    this.slots = slots;
    this.resumeSlots = resumeSlots;
    if (slots > 0) {
      this.noSlotsSinceMs = this.options.clock.now();
      this.newWorkSlots = Math.max(1, slots - resumeSlots);
    }
    this.drain();
    this.refuseUnreachable();
  }

  /** Whether a new request is expected to finish by its deadline. */
  canMeetDeadline(request: PoolRequest): boolean {
    const nowMs = this.options.clock.now();
    const leftMs = request.deadlineAtMs - nowMs;
    const size = request.cost;
    if (this.canStartNow(request)) {
      return (
        leftMs > 0 && leftMs >= this.serviceTimes.shortestMs({size, nowMs})
      );
    }
    const lane = laneOf(request);
    const lanesAhead = this.lanes.slice(0, lane);
    const requestsAhead =
      lanesAhead.reduce((sum, queue) => sum + queue.size, 0) +
      this.lanes[lane]!.countAhead(request.flow);
    const waitMs = (requestsAhead + 1) * this.intervalMs();
    return (
      leftMs > 0 && waitMs + this.serviceTimes.conservativeMs(size) <= leftMs
    );
  }

  /** Starts or queues a request; call `canMeetDeadline` first. */
  submit(request: PoolRequest): void {
    this.lanes[laneOf(request)]!.push(request);
    this.drain();
    if (this.waiting > 0)
      this.drainRate.recordWaiting(this.options.clock.now());
  }

  /** Counts a request that already runs at a target. */
  addRunning(request: PoolRequest): void {
    this.start(request);
  }

  /** Removes a request from the queue; false if it was not waiting. */
  remove(request: PoolRequest): boolean {
    const removed = this.lanes[laneOf(request)]!.remove(request);
    if (this.waiting === 0) this.drainRate.recordEmpty();
    return removed;
  }

  /** Refuses a waiting request because the queue is full. */
  evict(request: PoolRequest): void {
    if (this.remove(request)) this.refuse(request, RefusalReason.OVERLOADED);
  }

  /** Releases the slot of a request that has ended. */
  release(request: PoolRequest, outcome: TicketOutcome): void {
    this.inFlight--;
    this.recordServiceTime(request, outcome);
    this.drain();
  }

  /**
   * The request to evict first; undefined if no new request waits. Resumed
   * requests are not evicted.
   */
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

  /** The rank that a request would have if it waited. */
  rankOf(request: PoolRequest): QueueRank {
    const lane = laneOf(request);
    const count = this.lanes[lane]!.countOf(request.flow) + 1;
    return {request, lane, weightedLength: count / request.weight};
  }

  /** Whether a request would start immediately. */
  canStartNow(request: PoolRequest): boolean {
    const lane = laneOf(request);
    const isBehindOthers = this.lanes
      .slice(0, lane + 1)
      .some((q) => q.size > 0);
    return !isBehindOthers && this.inFlight < this.slotLimit(lane);
  }

  /** Retry-After for the next refusal, in milliseconds. */
  nextRetryAfterMs(): number {
    const intervalMs = this.intervalMs();
    const waitMs = this.waiting * intervalMs;
    const nowMs = this.options.clock.now();
    return this.retryAfterSchedule.next({nowMs, waitMs, intervalMs});
  }

  /** Refuses a request with a reason and a time to retry after. */
  refuse(request: PoolRequest, reason: RefusalReason): void {
    request.onRefuse({
      reason,
      // Part of a resumed request has already run at a target.
      ran: request.kind === WorkKind.NEW ? Executed.NO : Executed.UNKNOWN,
      detail: `${this.waiting} requests wait for ${this.slots} slots`,
      retryAfterMs: this.nextRetryAfterMs(),
    });
  }

  private drain(): void {
    for (const [index, lane] of this.lanes.entries()) {
      while (lane.size > 0 && this.inFlight < this.slotLimit(index)) {
        this.startOrRefuse(lane);
      }
    }
  }

  private startOrRefuse(lane: FairQueue<PoolRequest>): void {
    const request = lane.peek()!;
    if (!this.canStillMeetDeadline(request)) {
      this.remove(request);
      this.refuse(request, RefusalReason.DEADLINE_UNREACHABLE);
      return;
    }
    lane.shift();
    this.recordDeparture();
    this.start(request);
    request.onStart();
  }

  private recordDeparture(): void {
    const nowMs = this.options.clock.now();
    const stillWaiting = this.waiting > 0;
    this.drainRate.recordDeparture({nowMs, stillWaiting});
  }

  /** Whether a waiting request is expected to finish in time if started now. */
  private canStillMeetDeadline(request: PoolRequest): boolean {
    const nowMs = this.options.clock.now();
    const leftMs = request.deadlineAtMs - nowMs;
    const size = request.cost;
    // If no other request waits, a slot spent on a request that may be late
    // costs little, and shows whether the service has become faster.
    const neededMs =
      this.waiting > 1
        ? this.serviceTimes.conservativeMs(size)
        : this.serviceTimes.shortestMs({size, nowMs});
    return leftMs > 0 && leftMs >= neededMs;
  }

  private start(request: PoolRequest): void {
    this.inFlight++;
    request.startedAtMs = this.options.clock.now();
  }

  private recordServiceTime(
    request: PoolRequest,
    outcome: TicketOutcome,
  ): void {
    if (request.kind === WorkKind.RUNNING) return;
    const nowMs = this.options.clock.now();
    const heldMs = nowMs - request.startedAtMs;
    const size = request.cost;
    if (outcome !== TicketOutcome.FAILED) {
      this.serviceTimes.add({heldMs, size, nowMs});
    }
    const unitMs = this.serviceTimes.expectedMs(1);
    if (unitMs === 0) return;
    // The queue charged the requested size; this corrects it to the time used.
    const excessCost = heldMs / unitMs - size;
    this.lanes[laneOf(request)]!.charge({...request, cost: excessCost});
  }

  private refuseUnreachable(): void {
    const nowMs = this.options.clock.now();
    if (this.slots === 0) {
      const noSlotsForMs = nowMs - this.noSlotsSinceMs;
      if (noSlotsForMs > NO_SLOTS_GRACE_MS) this.refuseAll();
    }
    const intervalMs = this.intervalMs();
    let waitMs = intervalMs;
    for (const request of this.lanes.flatMap((lane) => lane.ordered())) {
      const neededMs = waitMs + this.serviceTimes.conservativeMs(request.cost);
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

  /**
   * Mean time between two departures from the queue, in milliseconds; 0 while
   * unknown.
   */
  private intervalMs(): number {
    const theoreticalMs = this.serviceTimes.meanHeldMs() / this.newWorkSlots;
    const nowMs = this.options.clock.now();
    return Math.max(theoreticalMs, this.drainRate.intervalMs(nowMs));
  }

  /**
   * Number of slots that a lane may use; new requests may not use the slots that
   * are reserved for resumed ones.
   */
  private slotLimit(lane: number): number {
    const slots = this.slots + this.turnaroundSlots();
    return isResumeLane(lane) ? slots : slots - this.resumeSlots;
  }

  /**
   * Number of extra requests to send to the targets so that their slots are not
   * idle between two requests, by Little's law.
   */
  private turnaroundSlots(): number {
    const heldMs = this.serviceTimes.meanHeldMs();
    if (heldMs === 0) return 0;
    return Math.floor(this.slots * Math.min(1, SLOT_TURNAROUND_MS / heldMs));
  }
}

function laneOf(request: PoolRequest): number {
  const resumeLane =
    PRIORITY_CLASSES.indexOf(request.priorityClass) * LANES_PER_CLASS;
  return request.kind === WorkKind.NEW ? resumeLane + 1 : resumeLane;
}

function isResumeLane(lane: number): boolean {
  return lane % LANES_PER_CLASS === 0;
}

/** The generations of one service that run or wait for room at this entry. */
import type {Clock, RandomSource, TimerHandle} from '../../core/clock/index.js';
import {RefusalReason} from '../../core/errors/refusals.js';
import type {Metrics} from '../../core/metrics/index.js';
import {CounterName, LatencyName} from '../../core/metrics/index.js';
import type {RoomRequest} from '../../core/room/index.js';
import {
  decideRoom,
  RoomDecision,
  RoomOutlook,
  RoomQueue,
} from '../../core/room/index.js';
import type {Supervisor} from '../../core/supervision/index.js';
import {TaskName} from '../../core/supervision/index.js';
import {ROOM_LOOK_MS, SIZE_WEIGHT} from './consts.js';

/** How the wait of a generation ended. */
export enum WaitEnd {
  PLACED = 'placed',
  SENT_ANYWAY = 'sent anyway',
  REFUSED = 'refused',
  /** Refused, as more urgent ones filled the queue. */
  DISPLACED = 'displaced',
  CALLER_LEFT = 'caller left',
}

/** A generation that asks for room. */
export interface Applicant extends RoomRequest {
  /**
   * Sends it where it has room; resolves with false if no engine has. It never
   * rejects.
   */
  tryPlace(): Promise<boolean>;
  /** Sends it to an engine whether it has room or not. */
  placeAnyway(): void;
  /** Refuses it. Without `retryAfterMs`, it has no chance any more. */
  refuse(reason: RefusalReason, retryAfterMs?: number): void;
  /** Records how its wait ended, and how many others still wait. */
  onWaitOver(end: WaitEnd, waiting: number): void;
}

/** Dependencies of the rooms of an entry. */
export interface ServiceRoomOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly metrics: Metrics;
  readonly supervisor: Supervisor;
}

/**
 * Gives room to generations in the order of `RoomQueue`. Looks for room when
 * work of this entry has ended, and from time to time.
 *
 * @example
 * room.enter(applicant);
 * room.leave(applicant);
 */
export class ServiceRoom {
  private readonly queue = new RoomQueue<Applicant>();
  private readonly outlook: RoomOutlook;
  /** Running generations by client account. */
  private readonly running = new Map<string, number>();
  private runningTotal = 0;
  private timer?: TimerHandle;
  /** When the next look is due. */
  private lookAtMs = Number.POSITIVE_INFINITY;
  private isLooking = false;
  /** The generation that looks for room now. */
  private placing?: Applicant;
  private meanSizeTokens?: number;

  constructor(private readonly options: ServiceRoomOptions) {
    this.outlook = new RoomOutlook(options);
  }

  /** Generations that wait. */
  get waiting(): number {
    return this.queue.size;
  }

  /** Mean size of the generations at their end, in tokens. */
  get meanTokens(): number {
    return this.meanSizeTokens ?? 0;
  }

  /** Records the size of a generation at its end, in tokens. */
  recordSize(tokens: number): void {
    const mean = this.meanSizeTokens ?? tokens;
    this.meanSizeTokens = mean + (tokens - mean) * SIZE_WEIGHT;
  }

  /** Places a generation, at once if nothing that waits goes before it. */
  async enter(applicant: Applicant): Promise<void> {
    const mustWait = this.countBefore(applicant) > 0;
    if (!mustWait && (await applicant.tryPlace())) return;
    this.queue.push(applicant);
    this.outlook.recordWaiting(this.options.clock.now());
    this.settle(applicant, this.foreseenWaitMs(applicant));
    if (this.queue.isOverfull) this.displaceLast();
    this.scheduleLook(ROOM_LOOK_MS);
  }

  /** Number of waiting generations that get room before another one. */
  countBefore(request: RoomRequest): number {
    return this.queue.countBefore(request, this.view());
  }

  /** Shortest wait of a generation to expect, in milliseconds. */
  foreseenWaitMs(request: RoomRequest): number {
    return this.waitMs(request, this.countBefore(request));
  }

  /** Drops a generation whose caller has left. */
  leave(applicant: Applicant): void {
    this.remove(applicant, WaitEnd.CALLER_LEFT);
  }

  /** Records that a generation of a client account runs now. */
  recordStart(clientAccount: string): void {
    this.running.set(clientAccount, this.runningOf(clientAccount) + 1);
    this.runningTotal++;
    if (this.placing !== undefined)
      this.outlook.recordGrant(this.options.clock.now());
  }

  /** Records that one has ended, which may have made room. */
  recordEnd(clientAccount: string): void {
    const left = this.runningOf(clientAccount) - 1;
    if (left > 0) this.running.set(clientAccount, left);
    else this.running.delete(clientAccount);
    this.runningTotal--;
    if (this.queue.size > 0) this.scheduleLook(0);
  }

  private runningOf(clientAccount: string): number {
    return this.running.get(clientAccount) ?? 0;
  }

  private view() {
    return {
      nowMs: this.options.clock.now(),
      runningOf: (account: string) => this.runningOf(account),
    };
  }

  private scheduleLook(delayMs: number): void {
    if (this.isLooking) return;
    const {clock, supervisor} = this.options;
    const atMs = clock.now() + delayMs;
    // Arrivals must not put off a look that is due earlier.
    if (this.lookAtMs <= atMs) return;
    this.timer?.cancel();
    this.lookAtMs = atMs;
    const task = {name: TaskName.ROOM};
    const run = supervisor.guard(task, () => this.look());
    this.timer = clock.schedule({delayMs, run});
  }

  private async look(): Promise<void> {
    if (this.isLooking) return;
    this.isLooking = true;
    this.lookAtMs = Number.POSITIVE_INFINITY;
    try {
      for (const applicant of this.queue.inOrder(this.view()))
        this.settle(applicant, 0);
      await this.placeInOrder();
      // A refusal can't be taken back, so room goes first.
      this.settleForeseen();
    } finally {
      this.isLooking = false;
      if (this.queue.size > 0) this.scheduleLook(ROOM_LOOK_MS);
    }
  }

  private async placeInOrder(): Promise<void> {
    let first = this.queue.first(this.view());
    while (first !== undefined) {
      if (!(await this.tryPlace(first))) return;
      this.remove(first, WaitEnd.PLACED);
      first = this.queue.first(this.view());
    }
  }

  private async tryPlace(applicant: Applicant): Promise<boolean> {
    this.placing = applicant;
    try {
      return await applicant.tryPlace();
    } finally {
      this.placing = undefined;
    }
  }

  private waitMs({shortestMs}: RoomRequest, ahead: number): number {
    const running = this.runningTotal;
    const nowMs = this.options.clock.now();
    return this.outlook.waitMs({ahead, running, shortestMs, nowMs});
  }

  /** Ends the waits that are in vain by what is foreseen. */
  private settleForeseen(): void {
    let ahead = 0;
    for (const applicant of this.queue.inOrder(this.view())) {
      const waitMs = this.waitMs(applicant, ahead);
      if (!this.settle(applicant, waitMs)) ahead++;
    }
  }

  /**
   * Ends the wait of a generation whose time is over, or will be after the wait
   * that it has to expect. Returns whether it waits no more.
   */
  private settle(applicant: Applicant, waitMs: number): boolean {
    const nowMs = this.options.clock.now();
    const decision = decideRoom({request: applicant, waitMs, nowMs});
    if (decision === RoomDecision.WAIT) return false;
    if (decision === RoomDecision.REFUSE) {
      this.refuse(applicant, WaitEnd.REFUSED, waitMs);
    } else if (this.remove(applicant, WaitEnd.SENT_ANYWAY)) {
      applicant.placeAnyway();
    }
    return true;
  }

  /** Refuses the last one of a queue that is too long. */
  private displaceLast(): void {
    const last = this.queue.last(this.view());
    if (last === undefined || last === this.placing) return;
    const waitMs = this.waitMs(last, this.queue.size);
    this.refuse(last, WaitEnd.DISPLACED, waitMs);
  }

  private refuse(
    applicant: Applicant,
    end: WaitEnd.REFUSED | WaitEnd.DISPLACED,
    waitMs: number,
  ): void {
    if (!this.remove(applicant, end)) return;
    const nowMs = this.options.clock.now();
    const retryAfterMs = this.outlook.retryAfterMs({
      request: applicant,
      waitMs,
      nowMs,
    });
    const reason =
      end === WaitEnd.DISPLACED
        ? RefusalReason.OVERLOADED
        : RefusalReason.DEADLINE_UNREACHABLE;
    applicant.refuse(reason, retryAfterMs);
  }

  private remove(applicant: Applicant, end: WaitEnd): boolean {
    if (!this.queue.remove(applicant)) return false;
    if (this.queue.size === 0) this.outlook.recordEmpty();
    const {clock, metrics} = this.options;
    metrics.count(CounterName.ROOM_WAITS, {label: end});
    const ms = clock.now() - applicant.receivedMs;
    metrics.observe({name: LatencyName.ROOM_WAIT, ms});
    applicant.onWaitOver(end, this.queue.size);
    return true;
  }
}

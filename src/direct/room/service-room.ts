/** The generations of one service that run or wait for room at this entry. */
import type {Clock, TimerHandle} from '../../core/clock/index.js';
import type {Metrics} from '../../core/metrics/index.js';
import {CounterName, LatencyName} from '../../core/metrics/index.js';
import type {RoomRequest} from '../../core/room/index.js';
import {decideRoom, RoomDecision, RoomQueue} from '../../core/room/index.js';
import type {Supervisor} from '../../core/supervision/index.js';
import {TaskName} from '../../core/supervision/index.js';
import {ROOM_LOOK_MS, SIZE_WEIGHT} from './consts.js';

/** How the wait of a generation ended. */
export enum WaitEnd {
  PLACED = 'placed',
  SENT_ANYWAY = 'sent anyway',
  REFUSED = 'refused',
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
  /** Refuses it, as it can't end in time any more. */
  refuse(): void;
  /** Records how its wait ended, and how many others still wait. */
  onWaitOver(end: WaitEnd, waiting: number): void;
}

/** Dependencies of the rooms of an entry. */
export interface ServiceRoomOptions {
  readonly clock: Clock;
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
  /** Running generations by client account. */
  private readonly running = new Map<string, number>();
  private timer?: TimerHandle;
  /** When the next look is due. */
  private lookAtMs = Number.POSITIVE_INFINITY;
  private isLooking = false;
  private meanSizeTokens?: number;

  constructor(private readonly options: ServiceRoomOptions) {}

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
    const mustWait = this.queue.hasBefore(applicant, this.view());
    if (!mustWait && (await applicant.tryPlace())) return;
    if (this.queue.isFull) {
      applicant.placeAnyway();
      return;
    }
    this.queue.push(applicant);
    this.settle(applicant);
    this.scheduleLook(ROOM_LOOK_MS);
  }

  /** Number of waiting generations that get room before another one. */
  countBefore(request: RoomRequest): number {
    return this.queue.countBefore(request, this.view());
  }

  /** Drops a generation whose caller has left. */
  leave(applicant: Applicant): void {
    this.remove(applicant, WaitEnd.CALLER_LEFT);
  }

  /** Records that a generation of a client account runs now. */
  recordStart(clientAccount: string): void {
    this.running.set(clientAccount, this.runningOf(clientAccount) + 1);
  }

  /** Records that one has ended, which may have made room. */
  recordEnd(clientAccount: string): void {
    const left = this.runningOf(clientAccount) - 1;
    if (left > 0) this.running.set(clientAccount, left);
    else this.running.delete(clientAccount);
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
      for (const applicant of this.queue.all()) this.settle(applicant);
      await this.placeInOrder();
    } finally {
      this.isLooking = false;
      if (this.queue.size > 0) this.scheduleLook(ROOM_LOOK_MS);
    }
  }

  private async placeInOrder(): Promise<void> {
    let first = this.queue.first(this.view());
    while (first !== undefined) {
      if (!(await first.tryPlace())) return;
      this.remove(first, WaitEnd.PLACED);
      first = this.queue.first(this.view());
    }
  }

  /** Ends the wait of a generation whose time is over. */
  private settle(applicant: Applicant): void {
    const nowMs = this.options.clock.now();
    const decision = decideRoom({request: applicant, nowMs});
    if (decision === RoomDecision.REFUSE) {
      if (this.remove(applicant, WaitEnd.REFUSED)) applicant.refuse();
    } else if (decision === RoomDecision.SEND_ANYWAY) {
      if (this.remove(applicant, WaitEnd.SENT_ANYWAY)) applicant.placeAnyway();
    }
  }

  private remove(applicant: Applicant, end: WaitEnd): boolean {
    if (!this.queue.remove(applicant)) return false;
    const {clock, metrics} = this.options;
    metrics.count(CounterName.ROOM_WAITS, {label: end});
    const ms = clock.now() - applicant.receivedMs;
    metrics.observe({name: LatencyName.ROOM_WAIT, ms});
    applicant.onWaitOver(end, this.queue.size);
    return true;
  }
}

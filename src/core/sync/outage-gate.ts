/** Keeps the followers of one store from all retrying during an outage. */
import type {Clock, TimerHandle} from '../clock/index.js';
import type {Supervisor} from '../supervision/index.js';
import {TaskName} from '../supervision/index.js';
import {MAX_OUTAGE_WAIT_MS} from './consts.js';

/**
 * Shared by the followers of one store. One of them, the leader, retries during
 * an outage; the others wait until it succeeds. An outage thus costs the store
 * the calls of one follower for each entry.
 *
 * @example
 * const gate = new OutageGate({clock, supervisor});
 * gate.recordLeader(false);
 * await gate.waitForLeader();
 */
export class OutageGate {
  private isLeaderFailing = false;
  private waiters = new Set<() => void>();

  constructor(
    private readonly options: {clock: Clock; supervisor: Supervisor},
  ) {}

  /** Whether the leader's last call to the store has failed. */
  get isClosed(): boolean {
    return this.isLeaderFailing;
  }

  /** Records the outcome of a call of the leader. */
  recordLeader(isSuccess: boolean): void {
    this.isLeaderFailing = !isSuccess;
    if (!isSuccess) return;
    for (const resolve of this.waiters) resolve();
    this.waiters = new Set();
  }

  /**
   * Waits until a call of the leader succeeds, for at most `MAX_OUTAGE_WAIT_MS`
   * as only the leader's calls may be failing.
   */
  waitForLeader(): Promise<void> {
    const {clock, supervisor} = this.options;
    return new Promise((resolve) => {
      const finish = () => {
        limit.cancel();
        this.waiters.delete(finish);
        resolve();
      };
      const limit: TimerHandle = clock.schedule({
        delayMs: MAX_OUTAGE_WAIT_MS,
        run: supervisor.guard(
          {name: TaskName.STORE_FOLLOWER, onFailure: resolve},
          finish,
        ),
      });
      this.waiters.add(finish);
    });
  }
}

import {beforeEach, describe, expect, it} from 'vitest';

import {ManualClock} from '../../src/core/clock/index.js';
import {SILENT_LOGGER} from '../../src/core/logs/index.js';
import {GracefulShutdown} from '../../src/direct/graceful-shutdown.js';
import {silentSupervisor} from '../support/supervisor.js';

const GRACE_MS = 8_000;

/** Records the calls that a shutdown makes to the callers' listener. */
class RecordingListener {
  openRequests = 0;
  readonly calls: string[] = [];

  closeIdle(): void {
    this.record('closeIdle');
  }

  closeListener(): void {
    this.record('closeListener');
  }

  closeAll(): void {
    this.record('closeAll');
  }

  private record(call: string): void {
    if (this.calls.at(-1) !== call) this.calls.push(call);
  }
}

describe('GracefulShutdown', () => {
  let clock: ManualClock;
  let listener: RecordingListener;
  let stoppedMs: number | undefined;
  let shutdown: GracefulShutdown;

  beforeEach(() => {
    clock = new ManualClock();
    listener = new RecordingListener();
    stoppedMs = undefined;
    shutdown = new GracefulShutdown({
      clock,
      logger: SILENT_LOGGER,
      supervisor: silentSupervisor(clock),
      listener,
      graceMs: GRACE_MS,
      answerOpen: () => undefined,
      onStopped: () => (stoppedMs = clock.now()),
    });
  });

  it('closes nothing until the load balancer has reacted', () => {
    shutdown.begin();
    clock.advance(2_500);
    expect(listener.calls).toEqual([]);
  });

  it('stops once the load balancer has reacted if no request is open', () => {
    shutdown.begin();
    clock.advance(3_000);
    expect(stoppedMs).toBeLessThan(3_000);
    expect(listener.calls).toEqual(['closeIdle', 'closeListener', 'closeAll']);
  });

  it('waits for open requests', () => {
    listener.openRequests = 1;
    shutdown.begin();
    clock.advance(6_000);
    expect(stoppedMs).toBeUndefined();
    listener.openRequests = 0;
    clock.advance(100);
    expect(stoppedMs).toBeDefined();
  });

  it('stops before the grace period ends even with open requests', () => {
    listener.openRequests = 1;
    shutdown.begin();
    clock.advance(GRACE_MS);
    expect(stoppedMs).toBeLessThan(GRACE_MS);
  });

  it('ignores a second signal', () => {
    shutdown.begin();
    clock.advance(1_000);
    shutdown.begin();
    clock.advance(2_000);
    expect(stoppedMs).toBeDefined();
  });
});

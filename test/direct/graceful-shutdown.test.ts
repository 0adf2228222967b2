import {beforeEach, describe, expect, it} from 'vitest';

import {ManualClock} from '../../src/core/clock/index.js';
import {SILENT_LOGGER} from '../../src/core/logs/index.js';
import {GracefulShutdown} from '../../src/direct/graceful-shutdown.js';

const GRACE_MS = 8_000;

/** Notes what a stop asks of the listener for callers. */
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

describe('PlannedStop', () => {
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
      listener,
      graceMs: GRACE_MS,
      onStopped: () => (stoppedMs = clock.now()),
    });
  });

  it('leaves connections alone until the balancer has noticed', () => {
    shutdown.begin();
    clock.advance(2_500);
    expect(listener.calls).toEqual([]);
  });

  it('ends soon after that where nothing is open', () => {
    shutdown.begin();
    clock.advance(3_000);
    expect(stoppedMs).toBeLessThan(3_000);
    expect(listener.calls).toEqual(['closeIdle', 'closeListener', 'closeAll']);
  });

  it('waits for open requests, and closes what becomes idle', () => {
    listener.openRequests = 1;
    shutdown.begin();
    clock.advance(6_000);
    expect(stoppedMs).toBeUndefined();
    listener.openRequests = 0;
    clock.advance(100);
    expect(stoppedMs).toBeDefined();
  });

  it('ends before it is killed, whatever is open', () => {
    listener.openRequests = 1;
    shutdown.begin();
    clock.advance(GRACE_MS);
    expect(stoppedMs).toBeLessThan(GRACE_MS);
  });

  it('takes a second signal for the first', () => {
    shutdown.begin();
    clock.advance(1_000);
    shutdown.begin();
    clock.advance(2_000);
    expect(stoppedMs).toBeDefined();
  });
});

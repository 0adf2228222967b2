/** Which connection of a process is closed for a new one. */
import {beforeEach, describe, expect, it} from 'vitest';

import type {
  BoundedConnection,
  ConnectionLimits,
} from '../../../src/core/connections/index.js';
import {
  ConnectionTable,
  ConnectionUse,
  deriveLimits,
} from '../../../src/core/connections/index.js';
import {SILENT_LOGGER} from '../../../src/core/logs/index.js';
import {Metrics} from '../../../src/core/metrics/index.js';
import {ManualClock} from '../../../src/core/clock/index.js';

const {BUSY, IDLE, NEW, PEER, STALLED, UNPROVEN} = ConnectionUse;

const MB = 1024 * 1024;

const LIMITS: ConnectionLimits = {
  maxConnections: 3,
  maxAheadBytes: 1_000,
  maxConnectionAheadBytes: 100,
  unreadTimeoutMs: 5_000,
};

class FakeConnection implements BoundedConnection {
  isClosed = false;
  unreadSinceMs?: number;

  constructor(
    private readonly currentUse: ConnectionUse,
    readonly usedAtMs: number,
  ) {}

  use(): ConnectionUse {
    return this.currentUse;
  }

  unreadSince(): number | undefined {
    return this.unreadSinceMs;
  }

  close(): void {
    this.isClosed = true;
  }
}

/** Uses and last times of three connections, and which makes room. */
const CASES = [
  {what: 'the one that is not read', uses: [IDLE, STALLED, UNPROVEN], out: 1},
  {what: 'the one without a request', uses: [IDLE, NEW, UNPROVEN], out: 2},
  {what: 'an idle one before a new one', uses: [NEW, PEER, IDLE], out: 2},
  {what: 'a new one before a peer', uses: [PEER, NEW, BUSY], out: 1},
  {what: 'a peer before a busy one', uses: [BUSY, PEER, BUSY], out: 1},
  {what: 'the longest unused', uses: [IDLE, IDLE, IDLE], out: 0},
  {what: 'none that serves', uses: [BUSY, BUSY, BUSY], out: undefined},
];

describe('a full table of connections', () => {
  let clock: ManualClock;
  let table: ConnectionTable;

  beforeEach(() => {
    clock = new ManualClock();
    const metrics = new Metrics();
    const logger = SILENT_LOGGER;
    table = new ConnectionTable({limits: LIMITS, clock, metrics, logger});
  });

  it.each(CASES)('closes $what', ({uses, out}) => {
    const old = uses.map((use, i) => new FakeConnection(use, i));
    for (const connection of old) table.add(connection);
    const added = new FakeConnection(NEW, uses.length);
    expect(table.add(added)).toBe(out !== undefined);
    expect(old.map(({isClosed}) => isClosed)).toEqual(
      old.map((_, i) => i === out),
    );
    expect(added.isClosed).toBe(out === undefined);
    expect(table.size).toBe(LIMITS.maxConnections);
  });

  it('closes what is not read in time', () => {
    const unread = new FakeConnection(BUSY, 0);
    unread.unreadSinceMs = clock.now();
    const read = new FakeConnection(BUSY, 0);
    table.add(unread);
    table.add(read);
    clock.advance(LIMITS.unreadTimeoutMs);
    expect(unread.isClosed).toBe(false);
    clock.advance(2_000);
    expect([unread.isClosed, read.isClosed]).toEqual([true, false]);
  });

  it('bounds what is sent ahead on all connections', () => {
    expect(table.holdAhead(900)).toBe(true);
    expect(table.holdAhead(200)).toBe(false);
    expect(table.holdAhead(-300)).toBe(true);
    expect(table.holdAhead(200)).toBe(true);
  });
});

const DERIVED = [
  {memoryBytes: 160 * MB, descriptors: 4_100, maxConnections: 1_926},
  {memoryBytes: 200 * MB, descriptors: 4_100, maxConnections: 1_926},
  {memoryBytes: 200 * MB, descriptors: 2_212, maxConnections: 982},
  {memoryBytes: 160 * MB, descriptors: 256, maxConnections: 96},
  {memoryBytes: 16 * MB, descriptors: 4_100, maxConnections: 204},
  {memoryBytes: 160 * MB, descriptors: 10, maxConnections: 1},
];

/** Descriptors that the platform keeps for files. */
const FILE_DESCRIPTORS = 200;

describe('limits of a machine', () => {
  it.each(DERIVED)(
    '$memoryBytes bytes and $descriptors descriptors',
    ({maxConnections, ...machine}) => {
      expect(deriveLimits(machine).maxConnections).toBe(maxConnections);
    },
  );

  // Guards against more sockets than the platform leaves beside its files: each
  // connection that is served may need one to a target.
  it.each([{descriptors: 2_212}, {descriptors: 4_100}])(
    'leave sockets for targets with $descriptors descriptors',
    ({descriptors}) => {
      const machine = {memoryBytes: 600 * MB, descriptors};
      const {maxConnections} = deriveLimits(machine);
      expect(2 * maxConnections).toBeLessThan(descriptors - FILE_DESCRIPTORS);
    },
  );
});

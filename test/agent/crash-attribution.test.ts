/**
 * An attempt whose stream was lost must be attributed to a crash of its engine.
 * The attempt could otherwise fail before the probe has shown the crash, above
 * all if the probe is slow, and the request would not count as its cause.
 */
import {errAsync, ResultAsync} from 'neverthrow';
import {beforeEach, describe, expect, it} from 'vitest';

import {AgentBoard} from '../../src/agent/agent-board.js';
import type {TargetReport} from '../../src/agent/agent-board.js';
import {AttemptTable} from '../../src/agent/attempt-table.js';
import {TargetLimit} from '../../src/agent/target-limit.js';
import {TargetMonitor} from '../../src/agent/target-monitor.js';
import {ManualClock, SeededRandom} from '../../src/core/clock/index.js';
import type {DriverError, EngineSink} from '../../src/core/edges/index.js';
import {DriverErrorKind} from '../../src/core/edges/index.js';
import {Layer} from '../../src/core/errors/index.js';
import {SILENT_LOGGER} from '../../src/core/logs/index.js';
import {Metrics} from '../../src/core/metrics/index.js';
import {TargetPhase} from '../../src/core/protocol/index.js';
import type {StartMessage} from '../../src/core/protocol/index.js';
import {silentSupervisor} from '../support/supervisor.js';

const REPORT: TargetReport = {
  running: 0,
  waiting: 0,
  capacity: 8,
  instance: 'first',
  cachedPrefixes: [],
};

const createError = (kind: DriverErrorKind): DriverError => {
  return {layer: Layer.DRIVER, kind, detail: 'lost'};
};

const CASES = [
  {
    name: 'detects a crash with a fast probe',
    probeMs: 1,
    probeError: DriverErrorKind.NOT_SENT,
    isCrash: true,
  },
  {
    name: 'detects a crash with a probe that is slow under load',
    probeMs: 240,
    probeError: DriverErrorKind.NOT_SENT,
    isCrash: true,
  },
  {
    name: 'reports no crash if the engine responds',
    probeMs: 1,
    probeError: undefined,
    isCrash: false,
  },
];

describe('crash attribution after the loss of a stream', () => {
  let clock: ManualClock;
  let probes: Array<(error: DriverErrorKind | undefined) => void>;
  let sinks: EngineSink[];
  let table: AttemptTable;
  let monitor: TargetMonitor;

  beforeEach(async () => {
    clock = new ManualClock();
    probes = [];
    sinks = [];
    const board = new AgentBoard();
    monitor = new TargetMonitor({
      board,
      clock,
      logger: SILENT_LOGGER,
      supervisor: silentSupervisor(clock),
      lastTokenAtMs: () => Number.NEGATIVE_INFINITY,
      probe: {
        probe: () =>
          ResultAsync.fromPromise(
            new Promise<TargetReport>((resolve, reject) => {
              probes.push((kind) => {
                if (kind === undefined) resolve(REPORT);
                else reject(new Error(kind));
              });
            }),
            (e) => createError((e as Error).message as DriverErrorKind),
          ),
      },
    });
    const metrics = new Metrics();
    table = new AttemptTable({
      board,
      clock,
      metrics,
      limit: new TargetLimit({clock, metrics, logger: SILENT_LOGGER}),
      random: new SeededRandom(1),
      supervisor: silentSupervisor(clock),
      probeNow: () => monitor.checkNow(),
      driver: {
        generate: ({sink}) => {
          sinks.push(sink);
          return {cancel: () => undefined};
        },
        probe: () => errAsync(createError(DriverErrorKind.LOST)),
        sendCommand: () => errAsync(createError(DriverErrorKind.LOST)),
      },
    });
    monitor.open();
    await completeProbes(undefined);
    expect(board.phase.get()).toBe(TargetPhase.HEALTHY);
  });

  async function completeProbes(
    kind: DriverErrorKind | undefined,
  ): Promise<void> {
    for (const complete of probes.splice(0)) complete(kind);
    // Lets pending promise callbacks run.
    for (let i = 0; i < 20; i++) await Promise.resolve();
  }

  it.each(CASES)('$name', async (row) => {
    const request = {
      attemptId: 'a',
      requestId: 'r',
      spec: {maxTokens: 10},
      resumeFrom: [],
      crashes: ['earlier'],
    } as unknown as StartMessage;
    const attempt = table.start(request);
    sinks[0]!.onFailure(createError(DriverErrorKind.LOST));
    clock.advance(row.probeMs);
    await completeProbes(row.probeError);
    clock.advance(1_000);
    await completeProbes(row.probeError);
    expect(attempt.failure?.kind).toBe(DriverErrorKind.LOST);
    expect(attempt.engineCrash !== undefined).toBe(row.isCrash);
    if (row.isCrash) expect(attempt.engineCrash?.isCause).toBe(true);
  });
});

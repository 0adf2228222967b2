/** A direct entry in the test process, with an HTTP agent for its callers. */
import {createHash} from 'node:crypto';
import {Agent} from 'node:http';

import {CallerServer} from '../../platform/caller-server.js';
import type {PlatformEdges} from '../../platform/platform-edges.js';
import {createPlatformEdges} from '../../platform/platform-edges.js';
import {readDescriptorLimit} from '../../src/adapters/bounded-server/index.js';
import {
  ConnectionTable,
  deriveLimits,
} from '../../src/core/connections/index.js';
import {MemoryBudget} from '../../src/core/bytes/index.js';
import type {Clock, RandomSource} from '../../src/core/clock/index.js';
import {SeededRandom, SystemClock} from '../../src/core/clock/index.js';
import {SILENT_LOGGER} from '../../src/core/logs/index.js';
import type {Logger} from '../../src/core/logs/index.js';
import {Metrics} from '../../src/core/metrics/index.js';
import type {RolloutSettings} from '../../src/core/rollouts/index.js';
import {Supervisor} from '../../src/core/supervision/index.js';
import {ChangeRelay} from '../../src/direct/relay/index.js';
import {DirectProcess} from '../../src/direct/direct-process.js';
import {GracefulShutdown} from '../../src/direct/graceful-shutdown.js';

const CONFIG_APPLY_MS = 2_000;
const TARGET_DRAIN_MS = 2_000;

/** Memory of the process, and its part for messages. */
const MEMORY_BYTES = 200 * 1024 * 1024;
const MESSAGE_BYTES = 40 * 1024 * 1024;

/** Time from the begin of a planned stop until the process is killed. */
export const SHUTDOWN_GRACE_MS = 2_000;

/** Dependencies of an entry, which a test may replace. */
export interface EntryParts {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly metrics: Metrics;
  readonly memory: MemoryBudget;
  readonly logger: Logger;
}

/** Options of a test entry. */
export interface DirectEntryOptions {
  readonly vm: string;
  readonly storeUrl: string;
  /** Time within which a revoked key must be refused; undefined for no bound. */
  readonly revokeMs?: number;
  /** Bounds on roll-outs; by default none are followed. */
  readonly rollout?: RolloutSettings;
  /** Port for other entries, 0 for a free one; without it, none connect. */
  readonly peerPort?: number;
  /** By default nothing is logged. */
  readonly logger?: Logger;
  /** Replaces the clients of the store and of the targets. */
  readonly wrapEdges?: (edges: PlatformEdges) => PlatformEdges;
  /** Replaces other parts. */
  readonly wrapParts?: (parts: EntryParts) => EntryParts;
}

/**
 * An entry that listens on a free port.
 *
 * @example
 * const entry = await DirectEntry.start({vm: 'entry-1', storeUrl: store.url});
 */
export class DirectEntry {
  readonly process: DirectProcess;
  readonly server: CallerServer;
  /** Sends the requests of callers over one connection. */
  readonly agent = new Agent({keepAlive: true, maxSockets: 1});
  port = 0;

  readonly metrics: Metrics;
  readonly memory: MemoryBudget;

  private readonly relay: ChangeRelay;
  private readonly supervisor: Supervisor;
  private readonly edges: PlatformEdges;

  private constructor(options: DirectEntryOptions) {
    const {vm, storeUrl, revokeMs, rollout} = options;
    const {clock, random, metrics, memory, logger} = createParts(options);
    const supervisor = new Supervisor({clock, metrics, logger});
    this.metrics = metrics;
    this.memory = memory;
    this.supervisor = supervisor;
    this.relay = new ChangeRelay({
      vm,
      dataCentre: 'a',
      address: '127.0.0.1',
      port: options.peerPort,
      limits: {configApplyMs: CONFIG_APPLY_MS, targetDrainMs: TARGET_DRAIN_MS},
      clock,
      random,
      metrics,
      logger,
      supervisor,
    });
    const edges = createPlatformEdges({
      url: storeUrl,
      metrics,
      supervisor,
      memory,
      relay: (kind) => this.relay.relayed(kind),
    });
    this.edges = options.wrapEdges?.(edges) ?? edges;
    this.process = new DirectProcess({
      settings: {
        vm,
        address: '127.0.0.1',
        dataCentre: 'a',
        callers: {host: '127.0.0.1', port: 0},
        readiness: {host: '127.0.0.1', port: 0},
        storeUrl,
        shutdownGraceMs: SHUTDOWN_GRACE_MS,
        configApplyMs: CONFIG_APPLY_MS,
        targetDrainMs: TARGET_DRAIN_MS,
        keyRevocationMs: revokeMs,
        retryBudget: {ratio: 0.8, windowMs: 10_000, slack: 150},
        memoryBytes: MEMORY_BYTES,
        rollout,
      },
      memory,
      clock,
      random,
      ...this.edges,
      permitPeers: this.relay,
      metrics,
      logger,
      supervisor,
    });
    this.server = new CallerServer({
      clock,
      logger,
      memory,
      table: new ConnectionTable({
        limits: deriveLimits({
          memoryBytes: MEMORY_BYTES,
          descriptors: readDescriptorLimit(),
        }),
        clock,
        metrics,
        logger,
      }),
      supervisor,
      handler: {
        refuseEarly: (req) => this.process.refuseEarly(req),
        recordRefusal: (req, refusal) =>
          this.process.recordRefusal(req, refusal),
        handle: (req, res) => this.process.handle(req, res),
        isDraining: () => this.process.draining.get(),
      },
    });
  }

  static async start(options: DirectEntryOptions): Promise<DirectEntry> {
    const entry = new DirectEntry(options);
    entry.process.start();
    entry.startRelay();
    const callers = {host: '127.0.0.1', port: 0};
    entry.port = await entry.server.listen(() => callers);
    return entry;
  }

  /** Begins a planned stop; resolves once the process would exit. */
  stopAsPlanned(): Promise<void> {
    this.process.startDraining();
    return new Promise((resolve) => {
      new GracefulShutdown({
        clock: new SystemClock(),
        logger: SILENT_LOGGER,
        supervisor: this.supervisor,
        listener: this.server,
        graceMs: SHUTDOWN_GRACE_MS,
        answerOpen: () => this.process.answerOpenRequests(),
        onStopped: resolve,
      }).begin();
    });
  }

  /** Withdraws the entry from the others, as at the begin of a planned stop. */
  leave(): Promise<void> {
    return this.relay.leave();
  }

  /** Simulates a killed process: all connections break without a response. */
  stop(): void {
    this.process.stop();
    this.relay.stop();
    this.agent.destroy();
    this.server.closeListener();
    this.server.closeAll();
  }

  private startRelay(): void {
    const {entryWriter: writer, entrySource: source} = this.edges;
    this.relay.start({writer, source});
  }
}

function createParts(options: DirectEntryOptions): EntryParts {
  const {vm, logger = SILENT_LOGGER, wrapParts} = options;
  const parts: EntryParts = {
    clock: new SystemClock(),
    random: new SeededRandom(hashOf(vm)),
    metrics: new Metrics(),
    memory: new MemoryBudget({limitBytes: MESSAGE_BYTES}),
    logger,
  };
  return wrapParts?.(parts) ?? parts;
}

/** Entries draw different random numbers. */
function hashOf(text: string): number {
  return createHash('sha1').update(text).digest().readUInt32BE(0);
}

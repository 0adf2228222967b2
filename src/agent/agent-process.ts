/** The agent role: one process on the same VM as each target. */
import type {ResultAsync} from 'neverthrow';

import type {Clock, RandomSource} from '../core/clock/index.js';
import type {
  EngineDriver,
  ObjectStore,
  OperatorHandler,
  ProcessStatus,
  ServiceDriver,
} from '../core/edges/index.js';
import {AGENT_DRAIN_LIMITS, DrainController} from '../core/drain/index.js';
import type {ConnectionTable} from '../core/connections/index.js';
import type {Logger} from '../core/logs/index.js';
import type {Metrics} from '../core/metrics/index.js';
import type {HelloMessage, TransportError} from '../core/protocol/index.js';
import {
  MessageType,
  PeerRole,
  PeerServer,
  PROTOCOL_VERSION,
} from '../core/protocol/index.js';
import type {DaemonSettings} from '../core/settings/types.js';
import type {Supervisor} from '../core/supervision/index.js';
import {AgentBoard} from './agent-board.js';
import {AttemptTable} from './attempt-table.js';
import {CallRunner} from './call-runner.js';
import {MAX_KEYS} from './consts.js';
import {ConfigReceiver} from './config-receiver.js';
import {DrainPeers} from './drain-peers.js';
import type {TargetProbe} from './target-monitor.js';
import {TargetMonitor} from './target-monitor.js';
import type {SessionDeps} from './entry-session.js';
import {EntrySession} from './entry-session.js';
import {KeyTable} from './key-table.js';
import {OutcomeRecorder} from './outcome-recorder.js';
import type {TargetLimit} from './target-limit.js';

/** Driver of the target: exactly one of an engine and a plain service. */
export interface TargetDrivers {
  readonly engine?: EngineDriver;
  readonly service?: ServiceDriver;
}

/** Dependencies of an agent. */
export interface AgentOptions {
  readonly settings: DaemonSettings;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly drivers: TargetDrivers;
  /** The limit that the responses of the target name. */
  readonly limit: TargetLimit;
  /** Holds failures of work that nobody waits for. */
  readonly supervisor: Supervisor;
  /** Bounds the connections of the process; none by default. */
  readonly table?: ConnectionTable;
  readonly store: ObjectStore;
  /** Called when a drain has ended, so that the process can exit. */
  readonly onDrained: () => void;
}

/** Creates the controllers of an agent and connects them to its board. */
export class AgentProcess implements OperatorHandler {
  private readonly board = new AgentBoard();
  private readonly incarnation: string;
  private readonly recorder: OutcomeRecorder;
  private readonly attempts: AttemptTable | undefined;
  private readonly calls: CallRunner | undefined;
  private readonly monitor: TargetMonitor;
  private readonly server: PeerServer;
  private readonly peers = new DrainPeers({
    onDrainRequested: () => this.drain(),
  });
  private readonly drainer: DrainController;
  private readonly config: ConfigReceiver;

  constructor(private readonly options: AgentOptions) {
    this.incarnation = options.random.id();
    this.recorder = new OutcomeRecorder({
      ...options,
      incarnation: this.incarnation,
    });
    this.attempts = this.createAttempts();
    this.calls = this.createCalls();
    this.monitor = new TargetMonitor({
      board: this.board,
      clock: options.clock,
      probe: createProbe(options.drivers),
      logger: options.logger,
      supervisor: options.supervisor,
      lastTokenAtMs: () =>
        this.attempts?.lastTokenAtMs() ?? Number.NEGATIVE_INFINITY,
    });
    const {board} = this;
    this.config = new ConfigReceiver({...options, board});
    this.server = this.createServer();
    this.drainer = this.createDrainer();
  }

  /** Starts listening for entries; returns the port. */
  start(): ResultAsync<number, TransportError> {
    this.monitor.open();
    this.attempts?.open();
    const {settings, logger} = this.options;
    return this.server.listen({...settings.peers, logger});
  }

  stop(): void {
    this.monitor.close();
    this.attempts?.close();
    this.server.close();
  }

  status(): ProcessStatus {
    const {settings} = this.options;
    return {
      vm: settings.vm,
      role: settings.role,
      dataCentre: settings.dataCentre,
      incarnation: this.incarnation,
      ready: this.isReady(),
      leaving: this.board.draining.get(),
      configVersion: this.board.configVersion.get(),
      configAgeMs: this.configAgeMs(),
      running: this.countRunning(),
      peers: [],
      subscribers: [],
    };
  }

  private configAgeMs(): number {
    const {clock} = this.options;
    return Math.round(Math.min(this.config.ageMs(), clock.now()));
  }

  isReady(): boolean {
    return !this.board.draining.get();
  }

  metrics(): Promise<string> {
    return this.options.metrics.render();
  }

  drain(): void {
    this.drainer.begin();
  }

  private createDrainer(): DrainController {
    return new DrainController({
      ...this.options,
      draining: this.board.draining,
      limits: AGENT_DRAIN_LIMITS,
      work: {
        countRunning: () => this.countUnfinished(),
        countUnsentBytes: () => this.server.countUnsentBytes(),
        countPendingPeers: () => this.peers.count(),
      },
    });
  }

  /** Counts attempts and calls, and unrecorded outcomes as one more. */
  private countUnfinished(): number {
    return this.countRunning() + (this.recorder.isIdle() ? 0 : 1);
  }

  private countRunning(): number {
    const attempts = this.attempts?.countRunning() ?? 0;
    return attempts + (this.calls?.countRunning() ?? 0);
  }

  private createAttempts(): AttemptTable | undefined {
    const {clock, metrics, drivers, random, limit, supervisor} = this.options;
    if (drivers.engine === undefined) return undefined;
    return new AttemptTable({
      board: this.board,
      clock,
      random,
      probeNow: () => this.monitor.checkNow(),
      driver: drivers.engine,
      limit,
      supervisor,
      metrics,
    });
  }

  private createCalls(): CallRunner | undefined {
    const {drivers, limit, supervisor} = this.options;
    if (drivers.service === undefined) return undefined;
    return new CallRunner({
      board: this.board,
      clock: this.options.clock,
      recorder: this.recorder,
      driver: drivers.service,
      limit,
      supervisor,
      incarnation: this.incarnation,
      keys: new KeyTable({capacity: MAX_KEYS}),
    });
  }

  private createServer(): PeerServer {
    const {clock, metrics, supervisor} = this.options;
    const deps: SessionDeps = {
      board: this.board,
      clock,
      metrics,
      attempts: this.attempts,
      calls: this.calls,
      countRunning: () => this.countRunning(),
      peers: this.peers,
      config: this.config,
      supervisor,
    };
    return new PeerServer({
      hello: this.createHello(),
      clock,
      supervisor,
      table: this.options.table,
      createListener: (connection) => new EntrySession(deps, connection),
    });
  }

  private createHello(): HelloMessage {
    const {vm, dataCentre} = this.options.settings;
    return {
      type: MessageType.HELLO,
      protocol: PROTOCOL_VERSION,
      role: PeerRole.AGENT,
      vm,
      incarnation: this.incarnation,
      dataCentre,
    };
  }
}

function createProbe(drivers: TargetDrivers): TargetProbe {
  if (drivers.engine !== undefined) return drivers.engine;
  const {service} = drivers;
  if (service === undefined)
    throw new Error('agent has no target: no engine or service driver');
  return {
    probe: (options) =>
      service.probe(options).map((report) => ({
        ...report,
        waiting: 0,
        instance: '',
        cachedPrefixes: [],
      })),
  };
}

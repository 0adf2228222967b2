/** The entry role: serves callers' requests through agents. */
import type {ResultAsync} from 'neverthrow';

import type {Admission} from '../core/admission/index.js';
import {FairAdmission, RetryBudgets} from '../core/admission/index.js';
import {
  CLAIM_WRITE_INTERVAL_MS,
  GroupedClaims,
  StoredOutcomes,
} from '../core/booking/index.js';
import type {Clock, RandomSource} from '../core/clock/index.js';
import type {
  CallerHandler,
  ObjectStore,
  OperatorHandler,
  ProcessStatus,
  VmList,
} from '../core/edges/index.js';
import {DrainController, ENTRY_DRAIN_LIMITS} from '../core/drain/index.js';
import type {ConnectionTable} from '../core/connections/index.js';
import type {Logger} from '../core/logs/index.js';
import type {Metrics} from '../core/metrics/index.js';
import {Quarantine} from '../core/poison/index.js';
import type {HelloMessage, TransportError} from '../core/protocol/index.js';
import {
  MessageRouter,
  MessageType,
  PeerRole,
  PeerServer,
  PROTOCOL_VERSION,
} from '../core/protocol/index.js';
import {OutlierDetector, LoadAwareChooser} from '../core/routing/index.js';
import type {DaemonSettings} from '../core/settings/types.js';
import type {Supervisor} from '../core/supervision/index.js';
import {TaskName} from '../core/supervision/index.js';
import {AgentLinks} from './links/agent-links.js';
import {BookingService} from './calls/booking-service.js';
import {RequestDispatcher} from './request-dispatcher.js';
import {ConfigController} from './config/config-controller.js';
import {EntryBoard} from './entry-board.js';
import type {GenerationDeps} from './generation/generation-run.js';
import {QuarantineSync} from './generation/quarantine-sync.js';
import {GenerationService} from './generation/generation-service.js';
import {OwnVmWatch} from './links/own-vm-watch.js';
import {CapacityController} from './capacity-controller.js';
import {PeerSession} from './links/peer-session.js';
import {PlainService} from './calls/plain-service.js';
import {VmDirectory} from './links/vm-directory.js';

/** Dependencies of an entry. */
export interface EntryOptions {
  readonly settings: DaemonSettings;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly store: ObjectStore;
  readonly vmList: VmList;
  /** Holds failures of work that nobody waits for. */
  readonly supervisor: Supervisor;
  /** Bounds the connections of the process; none by default. */
  readonly table?: ConnectionTable;
  /** Counts responses that have not been fully sent to their callers. */
  readonly countPendingResponses: () => number;
  /** Called when a drain has ended, so that the process can exit. */
  readonly onDrained: () => void;
}

/** Creates the controllers of an entry and connects them to its board. */
export class EntryProcess implements OperatorHandler {
  private readonly board = new EntryBoard();
  private readonly incarnation: string;
  private readonly admission: Admission;
  private readonly router = new MessageRouter();
  private readonly quarantine = new Quarantine();
  private readonly server: PeerServer;
  private readonly directory: VmDirectory;
  private readonly links: AgentLinks;
  private readonly capacityController: CapacityController;
  private readonly generations: GenerationService;
  private readonly dispatcher: RequestDispatcher;
  private readonly config: ConfigController;
  private readonly quarantineSync: QuarantineSync;
  private readonly drainer: DrainController;

  constructor(private readonly options: EntryOptions) {
    this.incarnation = options.random.id();
    this.admission = new FairAdmission(options);
    const hello = this.createHello();
    const {board, router} = this;
    const {clock, metrics, supervisor} = options;
    this.server = new PeerServer({
      hello,
      clock,
      supervisor,
      table: options.table,
      createListener: (connection) =>
        new PeerSession({router, metrics}, connection),
    });
    this.directory = new VmDirectory({...options, board});
    const {vm, dataCentre, site} = options.settings;
    const self = {vm, dataCentre};
    this.config = new ConfigController({
      ...options,
      ...{board, router, hello, self, site},
    });
    const {config} = this;
    this.links = new AgentLinks({...options, board, hello, config});
    this.capacityController = new CapacityController({
      ...options,
      board,
      views: () => this.links.views(),
    });
    const deps = this.createDeps();
    this.generations = new GenerationService({
      deps,
      admission: this.admission,
      board,
      hello,
      router,
    });
    this.dispatcher = this.createDispatcher(deps);
    const {quarantine} = this;
    this.quarantineSync = new QuarantineSync({...options, quarantine});
    this.drainer = this.createDrainer();
    new OwnVmWatch({
      board,
      supervisor,
      vm: options.settings.vm,
      onVmLeaving: () => this.drain(),
    }).open();
    this.subscribeAdmission();
  }

  /** Handles the requests of this entry's callers. */
  get callerHandler(): CallerHandler {
    return this.dispatcher;
  }

  /** Starts the controllers, listens for peers and returns the port. */
  start(): ResultAsync<number, TransportError> {
    this.links.open();
    this.directory.open();
    this.capacityController.open();
    this.generations.open();
    this.config.open();
    this.quarantineSync.open();
    const {settings, logger} = this.options;
    return this.server.listen({...settings.peers, logger});
  }

  stop(): void {
    this.config.close();
    this.quarantineSync.close();
    this.generations.close();
    this.capacityController.close();
    this.links.close();
    this.directory.close();
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
      configVersion: this.board.config.get().extract()?.version ?? 0,
      configAgeMs: this.configAgeMs(),
      running: this.countRunning(),
      peers: this.links.statuses(),
      subscribers: this.config.subscriberStatuses(),
    };
  }

  private configAgeMs(): number {
    const {clock} = this.options;
    return Math.round(Math.min(this.config.ageMs(), clock.now()));
  }

  isReady(): boolean {
    return !this.board.draining.get() && this.board.config.get().isJust();
  }

  metrics(): Promise<string> {
    return this.options.metrics.render();
  }

  drain(): void {
    this.drainer.begin();
  }

  private subscribeAdmission(): void {
    const {board, admission} = this;
    const {supervisor} = this.options;
    const task = {name: TaskName.REQUEST};
    board.capacity.subscribe(
      supervisor.guard(task, () => admission.resize(board.capacity.get())),
    );
    board.config.subscribe(
      supervisor.guard(task, () =>
        board.config.get().ifJust(({cfg}) => admission.configure(cfg)),
      ),
    );
  }

  private createDrainer(): DrainController {
    const {countPendingResponses} = this.options;
    return new DrainController({
      ...this.options,
      draining: this.board.draining,
      limits: ENTRY_DRAIN_LIMITS,
      work: {
        countRunning: () => this.countRunning() + countPendingResponses(),
        countUnsentBytes: () => 0,
        countPendingPeers: () => 0,
      },
    });
  }

  private countRunning(): number {
    return this.generations.countRunning() + this.dispatcher.countRunning();
  }

  private createDeps(): GenerationDeps {
    const {clock, random, metrics, settings, supervisor} = this.options;
    const failures = new OutlierDetector({clock});
    return {
      clock,
      random,
      metrics,
      links: this.links,
      chooser: new LoadAwareChooser({random, outliers: failures}),
      failures,
      retryBudgets: new RetryBudgets({clock}),
      dataCentre: settings.dataCentre,
      quarantine: this.quarantine,
      supervisor,
    };
  }

  private createDispatcher(deps: GenerationDeps): RequestDispatcher {
    return new RequestDispatcher({
      ...deps,
      board: this.board,
      admission: this.admission,
      generations: this.generations,
      plain: new PlainService(deps),
      bookings: new BookingService({
        callDeps: deps,
        claims: new GroupedClaims({
          ...this.options,
          writeIntervalMs: CLAIM_WRITE_INTERVAL_MS,
        }),
        outcomes: new StoredOutcomes({store: this.options.store}),
        incarnation: this.incarnation,
      }),
    });
  }

  private createHello(): HelloMessage {
    const {vm, dataCentre} = this.options.settings;
    return {
      type: MessageType.HELLO,
      protocol: PROTOCOL_VERSION,
      role: PeerRole.ENTRY,
      vm,
      incarnation: this.incarnation,
      dataCentre,
    };
  }
}

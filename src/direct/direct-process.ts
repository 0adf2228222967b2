/** An entry that calls its targets directly, without agents. */
import type {MemoryBudget} from '../core/bytes/index.js';
import {Cell} from '../core/blackboard/index.js';
import type {Clock, RandomSource} from '../core/clock/index.js';
import type {
  CallerRequest,
  CallerResponse,
  RefusalResponse,
  RequestHead,
} from '../core/edges/direct-caller.js';
import type {DirectTargets} from '../core/edges/direct-target.js';
import type {RolloutEdges} from '../core/edges/rollout-edges.js';
import type {StateEdges} from '../core/edges/state-edges.js';
import {RefusalReason} from '../core/errors/refusals.js';
import type {PermitPeers} from '../core/limits/index.js';
import type {Logger} from '../core/logs/index.js';
import type {Metrics} from '../core/metrics/index.js';
import {CounterName} from '../core/metrics/index.js';
import {Quarantine} from '../core/poison/index.js';
import type {AdmittedRequest, RouteTable} from '../core/routes/index.js';
import {
  admitRequest,
  OperationKind,
  pickService,
} from '../core/routes/index.js';
import type {RoutePlan, RouteQuery} from '../core/route-plan/index.js';
import {describeRoute} from '../core/route-plan/index.js';
import type {DirectSettings} from '../core/settings/direct-settings.js';
import {messageMemoryBytes} from '../core/settings/direct-settings.js';
import type {Supervisor} from '../core/supervision/index.js';
import {TaskName} from '../core/supervision/index.js';
import {KeyTrust, OutageGate} from '../core/sync/index.js';
import {TargetSet} from '../core/targets/index.js';
import {CallHandler} from './call-handler.js';
import {RETRY_AFTER_MS} from './consts.js';
import {CallQueues} from './call-queues.js';
import {ConfigSync} from './config-sync.js';
import type {DirectContext, DirectWork} from './context.js';
import {GracePeriod} from './grace-period.js';
import {LimitKeeper} from './limits/index.js';
import {LossTracker, QuarantineSync} from './poison/index.js';
import {Prober} from './prober.js';
import type {LoadedState} from './readiness.js';
import {Readiness} from './readiness.js';
import type {Need} from './readiness-log.js';
import {GenerationRooms} from './room/index.js';
import {failRequest} from './request-boundary.js';
import type {RolloutKeeper} from './rollouts/index.js';
import {createRolloutKeeper} from './rollouts/index.js';
import {createRouteView} from './route-view.js';
import {ServiceRetryBudgets} from './service-retry-budgets.js';
import {MinGenerationTimes} from './streams/min-generation-times.js';
import {StreamHandler} from './streams/stream-handler.js';
import {TargetSync} from './target-sync.js';

/** Settings and dependencies of a direct entry. */
export interface DirectProcessOptions extends StateEdges {
  readonly settings: DirectSettings;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Used where the settings allow roll-outs. */
  readonly rollouts?: RolloutEdges;
  readonly client: DirectTargets;
  readonly permitPeers: PermitPeers;
  /** Memory for all messages that the process holds. */
  readonly memory: MemoryBudget;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly supervisor: Supervisor;
}

/**
 * Follows the configuration and the registered targets, and routes requests
 * to these targets.
 *
 * @example
 * const entry = new DirectProcess(options);
 * entry.start();
 */
export class DirectProcess {
  /** The active configuration. */
  readonly routes = new Cell<RouteTable | undefined>(undefined);
  /** Whether a graceful shutdown has begun. */
  readonly draining = new Cell(false);
  private readonly keyTrust: KeyTrust;
  private settings: DirectSettings;
  private readonly ctx: DirectContext;
  private readonly gate: OutageGate;
  private readonly quarantineSync: QuarantineSync;
  private readonly configSync: ConfigSync;
  private readonly targetSync: TargetSync;
  private readonly openRequests = new Set<CallHandler | StreamHandler>();
  private readonly readiness: Readiness;
  private readonly grace: GracePeriod;
  /** Undefined where no roll-outs are ordered. */
  private readonly versions?: RolloutKeeper;

  constructor(private readonly options: DirectProcessOptions) {
    const {settings, clock, random, metrics, logger, supervisor} = options;
    this.settings = settings;
    this.gate = new OutageGate({clock, supervisor});
    this.grace = new GracePeriod({clock});
    this.versions = createRolloutKeeper({...options, gate: this.gate});
    const client = this.versions?.wrap(options.client) ?? options.client;
    this.keyTrust = new KeyTrust({
      clock,
      boundMs: settings.keyRevocationMs,
      onDistrusted: () => {
        logger.warn(
          'API keys not trusted: wall clock and monotonic clock diverged',
        );
        this.configSync.refresh();
      },
    });
    this.configSync = new ConfigSync({
      ...options,
      ...settings,
      source: options.configs,
      routes: this.routes,
      keyTrust: this.keyTrust,
      gate: this.gate,
    });
    const targets = new TargetSet({
      clock,
      onRemoved: (target) => client.releaseConnections(target.record),
      onPaused: (target, pauseMs) => prober.recheckPaused(target, pauseMs),
      gate: this.versions,
    });
    this.targetSync = new TargetSync({
      ...options,
      ...settings,
      targets,
      gate: this.gate,
    });
    const limits = new LimitKeeper({
      ...options,
      vm: settings.vm,
      peers: options.permitPeers,
    });
    const prober = new Prober({
      clock,
      random,
      client,
      targets,
      logger,
      supervisor,
      isEngine: ({record}) => this.isEngineService(record.service),
      healthPathOf: ({record}) =>
        this.routes.get()?.findService(record.service)?.healthPath,
      onHealthCheck: (target) => limits.charge(target),
    });
    const quarantine = new Quarantine();
    this.ctx = {
      dataCentre: settings.dataCentre,
      clock,
      random,
      targets,
      prober,
      minGenerationTimes: new MinGenerationTimes(),
      client,
      room: new GenerationRooms(options),
      grace: this.grace,
      limits,
      retryBudgets: new ServiceRetryBudgets({
        clock,
        settings: () => this.settings.retryBudget,
      }),
      callQueues: new CallQueues({
        clock,
        random,
        targets,
        client,
        metrics,
        logger,
        supervisor,
      }),
      lossTracker: new LossTracker({
        vm: settings.vm,
        quarantine,
        targets,
        prober,
        writer: options.lossWriter,
        source: options.lossSource,
        alertWriter: options.alertWriter,
        alertSource: options.alertSource,
        gate: this.gate,
        release: (request) => this.quarantineSync.release(request),
        clock,
        random,
        metrics,
        logger,
        supervisor,
      }),
      quarantine,
      memory: options.memory,
      metrics,
      logger,
      supervisor,
    };
    this.quarantineSync = new QuarantineSync({
      quarantine: this.ctx.quarantine,
      writer: options.quarantineWriter,
      source: options.quarantineSource,
      gate: this.gate,
      clock,
      random,
      logger,
      supervisor,
    });
    this.readiness = new Readiness({clock, loaded: () => this.loadedState});
  }

  start(): void {
    this.configSync.start();
    this.versions?.start(this.ctx.targets);
    this.targetSync.start();
    this.quarantineSync.start();
    this.ctx.lossTracker.start();
    this.readiness.start();
  }

  /** Applies settings that may change at run time. */
  applySettings(settings: DirectSettings): void {
    this.settings = settings;
    this.options.memory.setLimit(messageMemoryBytes(settings));
    this.keyTrust.setBound(settings.keyRevocationMs);
  }

  /** Begins to drain: the process is no longer ready for new connections. */
  startDraining(): void {
    this.grace.begin(this.settings.shutdownGraceMs);
    this.draining.set(true);
  }

  /** Stops following the store. */
  stop(): void {
    this.configSync.stop();
    this.targetSync.stop();
    this.quarantineSync.stop();
    this.versions?.stop();
    this.ctx.lossTracker.stop();
  }

  /** Ids of the targets that may be given work. */
  usableTargetIds(): string[] {
    return [...this.ctx.targets.all()]
      .filter((target) => !target.record.isDraining)
      .map((target) => target.id);
  }

  /** Whether the process may be given new connections. */
  isReady(): boolean {
    return !this.draining.get() && this.missing().length === 0;
  }

  private get loadedState(): LoadedState {
    return {
      hasConfig: this.hasConfig(),
      hasTargets: this.targetSync.hasLoaded,
      hasOrders: this.versions?.hasLoaded !== false,
      hasLosses: this.ctx.lossTracker.sync.hasLoaded,
      areKeysTrusted: this.keyTrust.isTrusted(),
    };
  }

  /** What the process still needs to become ready. */
  missing(): Need[] {
    return this.readiness.missing();
  }

  /**
   * Refuses a request by its head, before its body is read; undefined if it may
   * be served.
   */
  refuseEarly(req: RequestHead): RefusalResponse | undefined {
    const admitted = this.admit(req);
    if (admitted.isOk()) return undefined;
    this.recordRefusal(req, admitted.error);
    return admitted.error;
  }

  /** Records a request that is refused while its body is read. */
  recordRefusal(req: RequestHead, refusal: RefusalResponse): void {
    this.ctx.metrics.count(CounterName.REQUESTS);
    this.logRefusal(req, refusal);
  }

  private admit({host, path, key}: RequestHead) {
    return admitRequest({
      table: this.routes.get(),
      isTrusted: this.keyTrust.isTrusted(),
      host,
      path,
      key,
    });
  }

  /** Whether a configuration is active. */
  hasConfig(): boolean {
    return this.routes.get() !== undefined;
  }

  /** Describes where a request would go now; nothing is sent or changed. */
  describeRoute(query: RouteQuery): RoutePlan {
    const view = createRouteView({
      ctx: this.ctx,
      table: this.routes.get(),
      isTrusted: this.keyTrust.wouldTrust(),
      hasTargets: this.targetSync.hasLoaded,
    });
    return describeRoute(query, view);
  }

  /** Serves one request; an exception ends it alone. */
  handle(req: CallerRequest, res: CallerResponse): void {
    const {ctx} = this;
    const task = {
      name: TaskName.REQUEST,
      requestId: req.attemptId,
      onFailure: () => failRequest({ctx, res}),
    };
    ctx.supervisor.run(task, () => this.serve(req, res));
  }

  private serve(req: CallerRequest, res: CallerResponse): void {
    const admitted = this.admit(req);
    this.ctx.metrics.count(CounterName.REQUESTS);
    if (admitted.isErr()) this.refuse(req, res, admitted.error);
    else this.dispatch(req, res, admitted.value);
  }

  private dispatch(
    req: CallerRequest,
    res: CallerResponse,
    admitted: AdmittedRequest,
  ): void {
    const {ctx} = this;
    const {route, table} = admitted;
    const name = pickService({route, draw: ctx.random.float()});
    const service = name === undefined ? undefined : table.findService(name);
    if (service === undefined || !this.targetSync.hasLoaded) {
      this.refuse(req, res, unavailable(RefusalReason.NO_TARGET));
      return;
    }
    const limitMs = Math.min(req.deadlineMs ?? Infinity, route.timeoutMs);
    if (!this.grace.hasTimeFor(route.operation, limitMs)) {
      this.refuse(req, res, unavailable(RefusalReason.LEAVING));
      return;
    }
    const deadlineAtMs = req.receivedMs + limitMs;
    const work = {req, res, admitted, service, deadlineAtMs};
    this.startHandler(work);
  }

  private startHandler(work: DirectWork): void {
    const {ctx} = this;
    const onOver = () => this.openRequests.delete(handler);
    const isStream = work.admitted.route.operation === OperationKind.STREAM;
    const handler = isStream
      ? new StreamHandler({ctx, work, onOver})
      : new CallHandler({ctx, work, onOver});
    this.openRequests.add(handler);
    handler.start();
  }

  /**
   * Ends the requests without an answer so far with one, before the process
   * stops; streams that have begun go on.
   */
  answerOpenRequests(): void {
    for (const handler of [...this.openRequests]) handler.expire();
  }

  private refuse(
    req: CallerRequest,
    res: CallerResponse,
    refusal: RefusalResponse,
  ): void {
    this.logRefusal(req, refusal);
    res.sendRefusal(refusal);
  }

  private logRefusal(req: RequestHead, refusal: RefusalResponse): void {
    this.ctx.metrics.countRefusal(refusal.reason);
    this.ctx.logger.info('request refused at admission', {
      id: req.attemptId,
      status: refusal.status,
      reason: refusal.reason,
      config: this.routes.get()?.version,
      trustAgeMs: Math.round(this.keyTrust.ageMs()),
    });
  }

  private isEngineService(name: string): boolean {
    return this.routes.get()?.findService(name)?.engine !== undefined;
  }
}

function unavailable(reason: RefusalReason): RefusalResponse {
  return {status: 503, reason, retryAfterMs: RETRY_AFTER_MS};
}

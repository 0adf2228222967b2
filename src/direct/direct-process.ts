/** An entry that calls its targets directly, without agents beside them. */
import {Cell} from '../core/blackboard/index.js';
import type {Clock, RandomSource} from '../core/clock/index.js';
import type {
  CallerRequest,
  CallerResponse,
  RefusalResponse,
} from '../core/edges/direct-caller.js';
import type {DirectTargets} from '../core/edges/direct-target.js';
import type {StateWriter} from '../core/edges/state-writer.js';
import type {SourceItem, StateSource} from '../core/edges/state-source.js';
import {RefusalReason} from '../core/errors/refusals.js';
import type {Logger} from '../core/logs/index.js';
import type {Metrics} from '../core/metrics/index.js';
import {CounterName} from '../core/metrics/index.js';
import type {QuarantineRecord, RecordedLosses} from '../core/poison/index.js';
import {Quarantine} from '../core/poison/index.js';
import type {AdmittedRequest, RoutingConfig} from '../core/routes/index.js';
import {
  admitRequest,
  OperationKind,
  pickService,
  RouteTable,
} from '../core/routes/index.js';
import type {DirectSettings} from '../core/settings/direct-settings.js';
import {Follower, KeyTrust} from '../core/sync/index.js';
import type {TargetRecord} from '../core/targets/index.js';
import {TargetSet} from '../core/targets/index.js';
import {CallRun} from './call-run.js';
import {ContactLog} from './contact-log.js';
import {
  CALL_GRACE_SHARE,
  CONFIG_WAIT_MS,
  LOSSES_GRACE_MS,
  RETURN_AFTER_MS,
  STREAM_GRACE_SHARE,
  TARGETS_PACE_SHARE,
  TARGETS_WAIT_MS,
  WAIT_SHARE,
} from './consts.js';
import type {DirectContext} from './context.js';
import {Losses, QuarantineShare} from './poison/index.js';
import {Prober} from './prober.js';
import {RepeatBudgets} from './repeat-budgets.js';
import {StreamTimes} from './streams/stream-times.js';
import {StreamRun} from './streams/stream-run.js';

/** What a direct entry is built from. */
export interface DirectProcessOptions {
  readonly settings: DirectSettings;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly configs: StateSource<RoutingConfig>;
  readonly registrations: StateSource<TargetRecord>;
  readonly culprits: StateSource<QuarantineRecord>;
  readonly culpritNotes: StateWriter<QuarantineRecord>;
  readonly losses: StateSource<RecordedLosses>;
  readonly lossNotes: StateWriter<RecordedLosses>;
  readonly client: DirectTargets;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/**
 * Follows the configuration and the registered targets, and serves requests
 * by them.
 *
 * @example
 * const entry = new DirectProcess(options);
 * entry.start();
 */
export class DirectProcess {
  /** The configuration in force. */
  readonly routes = new Cell<RouteTable | undefined>(undefined);
  /** Whether the process has been told to stop. */
  readonly leaving = new Cell(false);
  private readonly trust: KeyTrust;
  private settings: DirectSettings;
  private readonly ctx: DirectContext;
  private readonly quarantineShare: QuarantineShare;
  private readonly followers: Array<Follower<unknown>> = [];
  private configs?: Follower<RoutingConfig>;
  private knowsTargets = false;
  private startedMs = 0;
  private killedAtMs = Number.POSITIVE_INFINITY;

  constructor(private readonly options: DirectProcessOptions) {
    const {settings, clock, random, client, metrics, logger} = options;
    this.settings = settings;
    this.trust = new KeyTrust({
      clock,
      boundMs: settings.keyRevocationMs,
      onDistrusted: () => {
        logger.warn('keys are distrusted: the clocks have parted');
        this.configs?.refresh();
      },
    });
    const targets = new TargetSet({
      clock,
      onRemoved: (target) => client.releaseConnections(target.record),
      onPaused: (target, pauseMs) => prober.recheckPaused(target, pauseMs),
    });
    const prober = new Prober({
      clock,
      client,
      targets,
      logger,
      isEngine: ({record}) => this.isEngineService(record.service),
      healthPathOf: ({record}) =>
        this.routes.get()?.findService(record.service)?.healthPath,
    });
    const quarantine = new Quarantine();
    this.ctx = {
      dataCentre: settings.dataCentre,
      clock,
      random,
      targets,
      prober,
      streamTimes: new StreamTimes(),
      client,
      budgets: new RepeatBudgets({
        clock,
        settings: () => this.settings.retryBudget,
      }),
      losses: new Losses({
        vm: settings.vm,
        quarantine,
        targets,
        prober,
        notes: options.lossNotes,
        source: options.losses,
        clock,
        random,
        metrics,
        logger,
      }),
      quarantine,
      metrics,
      logger,
    };
    this.quarantineShare = new QuarantineShare({
      quarantine: this.ctx.quarantine,
      notes: options.culpritNotes,
      source: options.culprits,
      clock,
      random,
      logger,
    });
  }

  start(): void {
    const {configs, registrations} = this.options;
    this.followConfigs(configs);
    this.followTargets(registrations);
    this.quarantineShare.start();
    this.ctx.losses.start();
    this.startedMs = this.options.clock.now();
  }

  /** Takes over settings that may change while the process runs. */
  applySettings(settings: DirectSettings): void {
    this.settings = settings;
    this.trust.setBound(settings.keyRevocationMs);
  }

  /** Begins a planned stop. */
  leave(): void {
    const {clock} = this.options;
    this.killedAtMs = clock.now() + this.settings.shutdownGraceMs;
    this.leaving.set(true);
  }

  /** Stops following the platform. */
  stop(): void {
    for (const follower of this.followers) follower.stop();
    this.quarantineShare.stop();
    this.ctx.losses.stop();
  }

  /** Ids of the targets that may be given work. */
  knownTargets(): string[] {
    return [...this.ctx.targets.all()]
      .filter((target) => !target.record.isDraining)
      .map((target) => target.id);
  }

  /** Whether the process may be given new connections. */
  isReady(): boolean {
    const isConfigured = this.routes.get() !== undefined && this.knowsTargets;
    const isInformed = isConfigured && this.knowsLosses();
    return isInformed && !this.leaving.get() && this.trust.isTrusted();
  }

  /** What was lost before this process began is waited for, but not long. */
  private knowsLosses(): boolean {
    const upForMs = this.options.clock.now() - this.startedMs;
    return this.ctx.losses.share.isInformed || upForMs > LOSSES_GRACE_MS;
  }

  /** Serves one request. */
  handle(req: CallerRequest, res: CallerResponse): void {
    const admitted = admitRequest({
      table: this.routes.get(),
      isTrusted: this.trust.isTrusted(),
      host: req.host,
      path: req.path,
      key: req.key,
    });
    this.ctx.metrics.count(CounterName.REQUESTS);
    if (admitted.isErr()) this.refuse(req, res, admitted.error);
    else this.run(req, res, admitted.value);
  }

  private run(
    req: CallerRequest,
    res: CallerResponse,
    admitted: AdmittedRequest,
  ): void {
    const {ctx} = this;
    const {route, table} = admitted;
    const name = pickService({route, draw: ctx.random.float()});
    const service = name === undefined ? undefined : table.findService(name);
    if (service === undefined || !this.knowsTargets) {
      const reason = RefusalReason.NO_TARGET;
      this.refuse(req, res, {
        status: 503,
        reason,
        retryAfterMs: RETURN_AFTER_MS,
      });
      return;
    }
    if (!this.hasTimeFor(route.operation)) {
      this.refuse(req, res, {
        status: 503,
        reason: RefusalReason.LEAVING,
        retryAfterMs: RETURN_AFTER_MS,
      });
      return;
    }
    const limitMs = Math.min(req.deadlineMs ?? Infinity, route.timeoutMs);
    const endMs = req.receivedMs + limitMs;
    const work = {req, res, admitted, service, endMs};
    if (route.operation === OperationKind.STREAM) {
      new StreamRun({ctx, work}).start();
    } else {
      new CallRun({ctx, work}).start();
    }
  }

  /** Whether work that starts now can end before the process does. */
  private hasTimeFor(operation: OperationKind): boolean {
    const leftMs = this.killedAtMs - this.options.clock.now();
    const share =
      operation === OperationKind.STREAM
        ? STREAM_GRACE_SHARE
        : CALL_GRACE_SHARE;
    return leftMs >= this.settings.shutdownGraceMs * share;
  }

  private refuse(
    req: CallerRequest,
    res: CallerResponse,
    answer: RefusalResponse,
  ): void {
    this.ctx.metrics.countRefusal(answer.reason);
    this.ctx.logger.info('refused', {
      id: req.attemptId,
      status: answer.status,
      reason: answer.reason,
      config: this.routes.get()?.version,
      trustAgeMs: Math.round(this.trust.ageMs()),
    });
    res.sendRefusal(answer);
  }

  private followConfigs(source: StateSource<RoutingConfig>): void {
    const {clock, random, logger} = this.options;
    const contact = new ContactLog({what: 'configuration', clock, logger});
    const take = (items: ReadonlyArray<SourceItem<RoutingConfig>>) => {
      for (const {value} of items) {
        if (value !== undefined) this.takeConfig(value);
      }
    };
    const follower = new Follower({
      source,
      clock,
      random,
      waitMs: this.configWaitMs(),
      listener: {
        onSnapshot: take,
        onChanges: take,
        onConfirmed: (confirmation) => {
          this.trust.confirm(confirmation);
          contact.noteHeard();
        },
        onError: (err) => contact.noteLost(err),
      },
    });
    this.configs = follower;
    this.followers.push(follower);
    follower.start();
  }

  /** Two waits in a row must fit into the time for which keys are trusted. */
  private configWaitMs(): number {
    const {keyRevocationMs: keyTrustMs = Infinity} = this.settings;
    return Math.min(CONFIG_WAIT_MS, Math.floor(keyTrustMs * WAIT_SHARE));
  }

  private followTargets(source: StateSource<TargetRecord>): void {
    const {clock, random, logger} = this.options;
    const {targets} = this.ctx;
    const contact = new ContactLog({what: 'targets', clock, logger});
    const follower = new Follower({
      source,
      clock,
      random,
      waitMs: TARGETS_WAIT_MS,
      minIntervalMs: this.settings.targetDrainMs * TARGETS_PACE_SHARE,
      listener: {
        onSnapshot: (items, afterOutage) => {
          targets.replaceAll(items, afterOutage);
          this.knowsTargets = true;
        },
        onChanges: (changes) => targets.applyChanges(changes),
        onConfirmed: () => contact.noteHeard(),
        onError: (err) => contact.noteLost(err),
      },
    });
    this.followers.push(follower);
    follower.start();
  }

  private isEngineService(name: string): boolean {
    return this.routes.get()?.findService(name)?.engine !== undefined;
  }

  private takeConfig(config: RoutingConfig): void {
    const known = this.routes.get()?.version ?? Number.NEGATIVE_INFINITY;
    if (config.version <= known) return;
    this.options.logger.info('configuration in force', {
      version: config.version,
      routes: config.routes.length,
    });
    this.routes.set(new RouteTable(config));
  }
}

/** Counts what is sent to the versions of a service during a roll-out. */
import type {Clock} from '../../core/clock/index.js';
import type {
  DirectTargets,
  Exchange,
  TargetRequest,
} from '../../core/edges/direct-target.js';
import {ExchangeFailure} from '../../core/edges/direct-target.js';
import type {Metrics} from '../../core/metrics/index.js';
import {CounterName} from '../../core/metrics/index.js';
import type {CellCounts, ProcessDelays} from '../../core/rollouts/index.js';
import type {Supervisor} from '../../core/supervision/index.js';
import {TaskName} from '../../core/supervision/index.js';
import type {TargetRecord} from '../../core/targets/index.js';
import {CountedExchange} from './counted-exchange.js';
import type {Rollout} from './rollout.js';

const HELD_BACK_DETAIL = 'the version gets no request now';

const NO_EXCHANGE: Exchange = {
  cancel: () => undefined,
  pause: () => undefined,
  resume: () => undefined,
};

/** Dependencies of the counting. */
export interface CountedTargetsOptions {
  readonly client: DirectTargets;
  /** The roll-out of a service; undefined if none is ordered. */
  readonly rolloutOf: (service: string) => Rollout | undefined;
  /** How long this process could not read responses. */
  readonly delays: ProcessDelays;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly supervisor: Supervisor;
}

/**
 * Sends to targets like the client it wraps. While a roll-out is ordered for the
 * service, it counts what is sent and what becomes of it, and does not send what
 * would exceed the bound on a version that is not trusted.
 *
 * @example
 * const counted = new CountedTargets({client, rolloutOf, clock, ...rest});
 */
export class CountedTargets implements DirectTargets {
  constructor(private readonly options: CountedTargetsOptions) {}

  send(options: Parameters<DirectTargets['send']>[0]): Exchange {
    const {client, rolloutOf} = this.options;
    const rollout = rolloutOf(options.target.service);
    if (rollout === undefined) return client.send(options);
    return this.sendCounted(rollout, options);
  }

  canTake(options: Parameters<DirectTargets['canTake']>[0]): boolean {
    const {client, rolloutOf} = this.options;
    const rollout = rolloutOf(options.target.service);
    if (rollout?.isNew(options.target) === true && !rollout.mayUseNew)
      return false;
    return client.canTake(options);
  }

  queryLoad(...args: Parameters<DirectTargets['queryLoad']>) {
    return this.options.client.queryLoad(...args);
  }

  /** A health check reaches its target as any other request does. */
  probeHealth(options: Parameters<DirectTargets['probeHealth']>[0]) {
    const {client, rolloutOf} = this.options;
    const rollout = rolloutOf(options.target.service);
    if (rollout !== undefined && rollout.isNew(options.target))
      rollout.controller.budget.recordSentToNew();
    return client.probeHealth(options);
  }

  copyKvCache(...args: Parameters<DirectTargets['copyKvCache']>) {
    return this.options.client.copyKvCache(...args);
  }

  freeKvCopy(...args: Parameters<DirectTargets['freeKvCopy']>) {
    return this.options.client.freeKvCopy(...args);
  }

  reserve(...args: Parameters<DirectTargets['reserve']>) {
    return this.options.client.reserve(...args);
  }

  releaseReservation(...args: Parameters<DirectTargets['releaseReservation']>) {
    return this.options.client.releaseReservation(...args);
  }

  releaseConnections(target: TargetRecord): void {
    this.options.client.releaseConnections(target);
  }

  private sendCounted(
    rollout: Rollout,
    options: Parameters<DirectTargets['send']>[0],
  ): Exchange {
    const {target, req, listener} = options;
    const {controller} = rollout;
    const isNew = rollout.isNew(target);
    if (isNew && !rollout.mayUseNew) return this.holdBack(options);
    if (!rollout.isRunning) return this.options.client.send(options);
    if (isNew) controller.budget.recordSentToNew();
    const recordOver = rollout.recordOpen(isNew);
    const route = routeOf(req);
    const {dataCentre, id} = target;
    const counted = new CountedExchange({
      ...this.options,
      target,
      route,
      isNew,
      listener,
      timer: rollout.timer,
      recorder: {
        onReached: () => controller.budget.recordReached(),
        onHeldBack: () => {
          if (isNew) controller.budget.recordHeldBack();
        },
        onOver: recordOver,
        onCounted: (counts) => {
          controller.evidence.add(
            {isNew, route, dataCentre, target: id},
            counts,
          );
          this.count(isNew, counts);
        },
      },
    });
    const {client} = this.options;
    return counted.wrap(client.send({...options, listener: counted}));
  }

  /** Fails without a send, so that the request goes elsewhere. */
  private holdBack({listener}: Parameters<DirectTargets['send']>[0]): Exchange {
    const {clock, supervisor, metrics} = this.options;
    metrics.count(CounterName.ROLLOUT_REQUESTS, {label: 'new held_back'});
    let isCancelled = false;
    const fail = () => {
      if (!isCancelled)
        listener.onFailure(ExchangeFailure.HELD_BACK, HELD_BACK_DETAIL);
    };
    const run = supervisor.guard({name: TaskName.ROLLOUT}, fail);
    clock.schedule({delayMs: 0, run});
    return {...NO_EXCHANGE, cancel: () => (isCancelled = true)};
  }

  private count(isNew: boolean, counts: CellCounts): void {
    const version = isNew ? 'new' : 'old';
    const label = `${version} ${outcomeOf(counts)}`;
    this.options.metrics.count(CounterName.ROLLOUT_REQUESTS, {label});
  }
}

function outcomeOf(counts: CellCounts): string {
  if (counts.lost > 0) return 'lost';
  if (counts.failures > 0) return 'failed';
  if (counts.slow > 0) return 'slow';
  return counts.answers > 0 ? 'ok' : 'none';
}

/** The first part of the path, by which routes mostly differ. */
function routeOf({path}: TargetRequest): string {
  const end = path.slice(1).search(/[/?]/);
  return end < 0 ? path : path.slice(0, end + 1);
}

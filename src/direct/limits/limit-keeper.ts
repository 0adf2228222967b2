/** Keeps this entry's sends within the limits that targets name. */
import type {Clock, RandomSource} from '../../core/clock/index.js';
import type {
  PermitAnswer,
  PermitPeers,
  PermitQuery,
} from '../../core/limits/index.js';
import {LimitPools, PermitNeed} from '../../core/limits/index.js';
import type {Metrics} from '../../core/metrics/index.js';
import {CounterName} from '../../core/metrics/index.js';
import type {Supervisor} from '../../core/supervision/index.js';
import {TaskName} from '../../core/supervision/index.js';
import type {Target} from '../../core/targets/index.js';
import {incarnationOf} from '../../core/targets/index.js';
import {MAX_CACHED_REFUSALS, MAX_REFUSAL_CACHE_MS} from './consts.js';

/** For whom a permit is asked. */
export interface PermitFor {
  readonly target: Target;
  readonly need: PermitNeed;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly clientAccount: string;
}

/** For messages and health checks, which belong to no caller. */
const NO_CALLER = {priority: 0, clientAccount: ''};

/**
 * Asks for a permit before each send to a target that names a limit. It asks the
 * entry that reads the store for this one: that has the shares of all entries
 * that read through it, and lets any of them use what the others leave. If there
 * is none or it does not answer, the permit comes out of this entry's own share.
 *
 * @example
 * const answer = await limits.request({target, need, priority, clientAccount});
 * if (answer.isGranted) send(target);
 */
export class LimitKeeper {
  private readonly pools: LimitPools;
  /** When optional permits that were refused can be asked for again. */
  private readonly refusedUntilMs = new Map<string, number>();

  constructor(
    private readonly options: {
      vm: string;
      peers: PermitPeers;
      clock: Clock;
      random: RandomSource;
      metrics: Metrics;
      supervisor: Supervisor;
    },
  ) {
    const {peers} = options;
    this.pools = new LimitPools(options);
    peers.servePermits((query) => this.grantHere(query, !peers.hasGranter));
  }

  /** Requests a permit for one send to a target that names a limit. */
  async request(request: PermitFor): Promise<PermitAnswer> {
    const {target} = request;
    const key = keyOf(request);
    const isOptional = request.need === PermitNeed.OPTIONAL;
    const cachedMs = isOptional ? this.refusedForMs(key) : 0;
    if (cachedMs > 0)
      return {isGranted: false, retryAfterMs: cachedMs, limit: target.limit};
    const answer = await this.ask(toQuery(request));
    target.hearLimit(answer.limit);
    if (isOptional && !answer.isGranted) this.cacheRefusal(key, answer);
    this.options.metrics.count(CounterName.LIMIT_PERMITS, {
      label: answer.isGranted ? 'granted' : 'refused',
    });
    return answer;
  }

  /** Counts a request that is sent in any case, such as a health check. */
  charge(target: Target): void {
    if (target.limitPerSecond === undefined) return;
    this.send(target, PermitNeed.FORCED);
    this.options.metrics.count(CounterName.LIMIT_PERMITS, {label: 'forced'});
  }

  /** Tells the granter what this entry has just heard from the target. */
  tell(target: Target): void {
    this.send(target, PermitNeed.NONE);
  }

  /** Asks for a permit whose answer does not matter. */
  private send(target: Target, need: PermitNeed): void {
    const query = toQuery({...NO_CALLER, target, need});
    const task = {name: TaskName.LIMIT};
    this.options.supervisor.run(task, () => this.ask(query));
  }

  private async ask(query: PermitQuery): Promise<PermitAnswer> {
    const {peers} = this.options;
    const answer = peers.hasGranter ? await peers.askPermit(query) : undefined;
    return answer ?? this.grantHere(query, true);
  }

  private grantHere(query: PermitQuery, hasOwn: boolean): PermitAnswer {
    return this.pools.request(query, {hasOwn});
  }

  private refusedForMs(key: string): number {
    const untilMs = this.refusedUntilMs.get(key) ?? Number.NEGATIVE_INFINITY;
    return Math.max(0, untilMs - this.options.clock.now());
  }

  private cacheRefusal(key: string, {retryAfterMs}: PermitAnswer): void {
    const cachedMs = Math.min(retryAfterMs, MAX_REFUSAL_CACHE_MS);
    this.refusedUntilMs.delete(key);
    this.refusedUntilMs.set(key, this.options.clock.now() + cachedMs);
    const [oldest] = this.refusedUntilMs.keys();
    if (this.refusedUntilMs.size > MAX_CACHED_REFUSALS)
      this.refusedUntilMs.delete(oldest!);
  }
}

function toQuery({target, ...rest}: PermitFor): PermitQuery {
  return {...rest, target: incarnationOf(target.record), limit: target.limit};
}

function keyOf({target, priority, clientAccount}: PermitFor): string {
  return `${incarnationOf(target.record)} ${priority} ${clientAccount}`;
}

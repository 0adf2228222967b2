import type {Result} from 'neverthrow';
import {err, ok, ResultAsync} from 'neverthrow';

import type {Clock, RandomSource} from '../clock/index.js';
import {DEFAULT_LIMITS} from '../config/consts.js';
import type {SiteConfig} from '../config/types.js';
import type {Refusal} from '../errors/refusals.js';
import {Executed, RefusalReason} from '../errors/refusals.js';
import {splitLimit} from './capacity.js';
import type {QueueRank, PoolRequest} from './service-pool.js';
import {ServicePool} from './service-pool.js';
import type {
  Admission,
  AdmissionQuery,
  AdmissionTicket,
  EntryCapacity,
} from './types.js';
import {TicketOutcome, WorkKind} from './types.js';

type Settle = (result: Result<AdmissionTicket, Refusal>) => void;

/**
 * Shares each service's slots between client accounts by weight, priority
 * class first, with one bounded queue for all services of the entry.
 *
 * @example
 * const admission = new FairAdmission({clock, random});
 * admission.admit(query).map((ticket) => serve(ticket));
 */
export class FairAdmission implements Admission {
  private readonly pools = new Map<string, ServicePool>();
  private readonly open = new Map<string, number>();
  private queueLength: number = DEFAULT_LIMITS.queueLength;
  private liveEntries = 1;

  constructor(private readonly options: {clock: Clock; random: RandomSource}) {}

  /** Requests that wait, over all services. */
  get waiting(): number {
    let waiting = 0;
    for (const pool of this.pools.values()) waiting += pool.waiting;
    return waiting;
  }

  /** Requests of a service that were let in and have not ended. */
  countRunning(service: string): number {
    return this.pools.get(service)?.running ?? 0;
  }

  configure(cfg: SiteConfig): void {
    this.queueLength = cfg.limits.queueLength;
  }

  resize(load: EntryCapacity): void {
    this.liveEntries = load.liveEntries;
    for (const slots of load.services) {
      this.poolOf(slots.service).resize(slots);
    }
  }

  admit(query: AdmissionQuery): ResultAsync<AdmissionTicket, Refusal> {
    return new ResultAsync(
      new Promise((resolve) => this.decide(query, resolve)),
    );
  }

  private decide(query: AdmissionQuery, settle: Settle): void {
    const pool = this.poolOf(query.service.name);
    const account = query.clientAccount.name;
    const open = this.open.get(account) ?? 0;
    if (open >= this.limitOf(query)) {
      settle(err(accountLimit({query, open, pool})));
      return;
    }
    const request = this.createRequest({query, pool, settle});
    this.open.set(account, open + 1);
    if (query.signal?.aborted === true) {
      request.onRefuse(callerGone(request));
      return;
    }
    if (request.kind === WorkKind.RUNNING) {
      pool.addRunning(request);
      request.onStart();
      return;
    }
    if (!pool.canMeetDeadline(request)) {
      pool.refuse(request, RefusalReason.DEADLINE_UNREACHABLE);
      return;
    }
    if (!this.makeRoom(pool, request)) {
      pool.refuse(request, RefusalReason.OVERLOADED);
      return;
    }
    pool.submit(request);
  }

  /** Resumes are bound by the whole limit: their entry may have just died. */
  private limitOf(query: AdmissionQuery): number {
    const limit = query.clientAccount.maxConcurrent;
    if ((query.kind ?? WorkKind.NEW) !== WorkKind.NEW) return limit;
    return splitLimit({limit, liveEntries: this.liveEntries});
  }

  private createRequest(options: {
    query: AdmissionQuery;
    pool: ServicePool;
    settle: Settle;
  }): PoolRequest {
    const {query, pool, settle} = options;
    const {clientAccount, service, deadlineAtMs, maxTokens, signal} = query;
    const leave = (): void => this.withdraw(pool, request);
    const request: PoolRequest = {
      flow: clientAccount.name,
      weight: clientAccount.weight,
      cost: Math.max(1, maxTokens),
      kind: query.kind ?? WorkKind.NEW,
      priorityClass: service.priorityClass,
      deadlineAtMs,
      startedAtMs: 0,
      onStart: () => {
        signal?.removeEventListener('abort', leave);
        settle(ok(this.createTicket(pool, request)));
      },
      onRefuse: (refusal) => {
        signal?.removeEventListener('abort', leave);
        this.close(request);
        settle(err(refusal));
      },
    };
    signal?.addEventListener('abort', leave);
    return request;
  }

  private withdraw(pool: ServicePool, request: PoolRequest): void {
    if (pool.remove(request)) request.onRefuse(callerGone(request));
  }

  /** Makes place in a full queue; false where the newcomer is the last. */
  private makeRoom(pool: ServicePool, request: PoolRequest): boolean {
    if (pool.canStartNow(request) || this.waiting < this.queueLength)
      return true;
    const place = pool.rankOf(request);
    const last = this.lastInLine();
    if (last === undefined || !goesBefore(place, last.place)) return false;
    last.pool.evict(last.place.request);
    return true;
  }

  private lastInLine(): {pool: ServicePool; place: QueueRank} | undefined {
    let last: {pool: ServicePool; place: QueueRank} | undefined;
    for (const pool of this.pools.values()) {
      const place = pool.lowestRank();
      if (place === undefined) continue;
      if (last === undefined || goesBefore(last.place, place)) {
        last = {pool, place};
      }
    }
    return last;
  }

  private createTicket(
    pool: ServicePool,
    request: PoolRequest,
  ): AdmissionTicket {
    let released = false;
    return {
      release: (outcome = TicketOutcome.SERVED) => {
        if (released) return;
        released = true;
        this.close(request);
        pool.release(request, outcome);
      },
    };
  }

  private close(request: PoolRequest): void {
    const open = (this.open.get(request.flow) ?? 0) - 1;
    if (open > 0) this.open.set(request.flow, open);
    else this.open.delete(request.flow);
  }

  private poolOf(service: string): ServicePool {
    let pool = this.pools.get(service);
    if (pool === undefined) {
      pool = new ServicePool(this.options);
      this.pools.set(service, pool);
    }
    return pool;
  }
}

/** Whether `a` keeps its place in the queue rather than `b`. */
function goesBefore(a: QueueRank, b: QueueRank): boolean {
  if (a.lane !== b.lane) return a.lane < b.lane;
  return a.weightedLength < b.weightedLength;
}

function callerGone(request: PoolRequest): Refusal {
  return {
    reason: RefusalReason.CALLER_GONE,
    ran: request.kind === WorkKind.NEW ? Executed.NO : Executed.UNKNOWN,
    detail: 'the caller went away while its request waited',
  };
}

function accountLimit(options: {
  query: AdmissionQuery;
  open: number;
  pool: ServicePool;
}): Refusal {
  const {query, open, pool} = options;
  const isNew = (query.kind ?? WorkKind.NEW) === WorkKind.NEW;
  return {
    reason: RefusalReason.ACCOUNT_LIMIT,
    ran: isNew ? Executed.NO : Executed.UNKNOWN,
    detail: `${open} requests of this account are open at this entry`,
    retryAfterMs: pool.nextRetryAfterMs(),
  };
}

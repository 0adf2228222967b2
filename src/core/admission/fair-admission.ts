import type {Result} from 'neverthrow';
import {err, ok, ResultAsync} from 'neverthrow';

import type {Clock, RandomSource} from '../clock/index.js';
import {DEFAULT_LIMITS} from '../config/consts.js';
import type {SiteConfig} from '../config/types.js';
import type {Refusal} from '../errors/refusals.js';
import {Executed, RefusalReason} from '../errors/refusals.js';
import {splitLimit} from './capacity.js';
import type {PoolRequest, QueueRank} from './service-pool.js';
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
 * Admits requests by priority class, and within a class shares each service's
 * slots between client accounts by weight. The number of waiting requests of
 * all services together is bounded.
 *
 * @example
 * const admission = new FairAdmission({clock, random});
 * admission.admit(query).map((ticket) => serve(ticket));
 */
export class FairAdmission implements Admission {
  private readonly pools = new Map<string, ServicePool>();
  /** Number of waiting and running requests, by client account. */
  private readonly openRequests = new Map<string, number>();
  private queueLength: number = DEFAULT_LIMITS.queueLength;
  private liveEntries = 1;

  constructor(private readonly options: {clock: Clock; random: RandomSource}) {}

  /** Waiting requests of all services. */
  get waiting(): number {
    let waiting = 0;
    for (const pool of this.pools.values()) waiting += pool.waiting;
    return waiting;
  }

  /** Admitted requests of a service that have not ended. */
  countRunning(service: string): number {
    return this.pools.get(service)?.running ?? 0;
  }

  configure(cfg: SiteConfig): void {
    this.queueLength = cfg.limits.queueLength;
  }

  resize(capacity: EntryCapacity): void {
    this.liveEntries = capacity.liveEntries;
    for (const slots of capacity.services) {
      this.poolOf(slots.service).resize(slots);
    }
  }

  admit(query: AdmissionQuery): ResultAsync<AdmissionTicket, Refusal> {
    return new ResultAsync(
      new Promise((resolve) => this.admitOrRefuse(query, resolve)),
    );
  }

  private admitOrRefuse(query: AdmissionQuery, settle: Settle): void {
    const pool = this.poolOf(query.service.name);
    const account = query.clientAccount.name;
    const open = this.openRequests.get(account) ?? 0;
    if (open >= this.concurrencyLimit(query)) {
      settle(err(accountLimitRefusal({query, open, pool})));
      return;
    }
    const request = this.createRequest({query, pool, settle});
    this.openRequests.set(account, open + 1);
    if (query.signal?.aborted === true) {
      request.onRefuse(callerGoneRefusal(request));
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
    if (!this.makeQueueSpace(pool, request)) {
      pool.refuse(request, RefusalReason.OVERLOADED);
      return;
    }
    pool.submit(request);
  }

  /**
   * Resumed and running requests may use the whole limit, since the entry that
   * served them, with its share of the limit, may have just failed.
   */
  private concurrencyLimit(query: AdmissionQuery): number {
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
    const onAbort = (): void => this.cancelWaiting(pool, request);
    const request: PoolRequest = {
      flow: clientAccount.name,
      weight: clientAccount.weight,
      cost: Math.max(1, maxTokens),
      kind: query.kind ?? WorkKind.NEW,
      priorityClass: service.priorityClass,
      deadlineAtMs,
      startedAtMs: 0,
      onStart: () => {
        signal?.removeEventListener('abort', onAbort);
        settle(ok(this.createTicket(pool, request)));
      },
      onRefuse: (refusal) => {
        signal?.removeEventListener('abort', onAbort);
        this.removeOpenRequest(request);
        settle(err(refusal));
      },
    };
    signal?.addEventListener('abort', onAbort);
    return request;
  }

  private cancelWaiting(pool: ServicePool, request: PoolRequest): void {
    if (pool.remove(request)) request.onRefuse(callerGoneRefusal(request));
  }

  /**
   * Evicts the lowest-ranked request if the queue is full; returns false if no
   * waiting request ranks below the new one.
   */
  private makeQueueSpace(pool: ServicePool, request: PoolRequest): boolean {
    if (pool.canStartNow(request) || this.waiting < this.queueLength)
      return true;
    const rank = pool.rankOf(request);
    const lowest = this.lowestRank();
    if (lowest === undefined || !ranksAbove(rank, lowest.rank)) return false;
    lowest.pool.evict(lowest.rank.request);
    return true;
  }

  private lowestRank(): {pool: ServicePool; rank: QueueRank} | undefined {
    let lowest: {pool: ServicePool; rank: QueueRank} | undefined;
    for (const pool of this.pools.values()) {
      const rank = pool.lowestRank();
      if (rank === undefined) continue;
      if (lowest === undefined || ranksAbove(lowest.rank, rank)) {
        lowest = {pool, rank};
      }
    }
    return lowest;
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
        this.removeOpenRequest(request);
        pool.release(request, outcome);
      },
    };
  }

  private removeOpenRequest(request: PoolRequest): void {
    const open = (this.openRequests.get(request.flow) ?? 0) - 1;
    if (open > 0) this.openRequests.set(request.flow, open);
    else this.openRequests.delete(request.flow);
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

/** Whether `a` ranks above `b`: a full queue evicts `b` before `a`. */
function ranksAbove(a: QueueRank, b: QueueRank): boolean {
  if (a.lane !== b.lane) return a.lane < b.lane;
  return a.weightedLength < b.weightedLength;
}

function callerGoneRefusal(request: PoolRequest): Refusal {
  return {
    reason: RefusalReason.CALLER_GONE,
    ran: request.kind === WorkKind.NEW ? Executed.NO : Executed.UNKNOWN,
    detail: 'the caller went away while its request waited',
  };
}

function accountLimitRefusal(options: {
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

/** Calls to idempotent plain services, which can be retried safely. */
import type {Result} from 'neverthrow';
import {err, ok, ResultAsync} from 'neverthrow';

import type {RetryBudgets} from '../../core/admission/index.js';
import type {Clock, RandomSource} from '../../core/clock/index.js';
import {sleep} from '../../core/clock/index.js';
import type {PlainResponse} from '../../core/edges/index.js';
import type {Refusal} from '../../core/errors/index.js';
import {Executed, RefusalReason, RetryReason} from '../../core/errors/index.js';
import type {Metrics} from '../../core/metrics/index.js';
import type {
  OutlierDetector,
  TargetChooser,
  TargetView,
} from '../../core/routing/index.js';
import type {Supervisor} from '../../core/supervision/index.js';
import type {AgentCallResult, CallError} from './agent-call.js';
import {callAgent, CallErrorKind} from './agent-call.js';
import type {AgentLinks} from '../links/agent-links.js';
import {NO_TARGET_RETRY_MS, RETRY_AFTER_MS} from '../consts.js';
import {LimitRefusals} from './limit-refusals.js';
import type {ResolvedPlain} from './plain-request.js';
import {createCall} from './plain-request.js';

/** Maximum attempts of one call. */
const MAX_ATTEMPTS = 3;

/** Lowest HTTP status that counts as a failure of the target itself. */
const MIN_SERVER_ERROR_STATUS = 500;

/** Dependencies of plain calls. */
export interface PlainCallDeps {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly metrics: Metrics;
  readonly links: AgentLinks;
  readonly chooser: TargetChooser;
  readonly failures: OutlierDetector;
  readonly retryBudgets: RetryBudgets;
  readonly dataCentre: string;
  readonly supervisor: Supervisor;
}

/**
 * Sends a call, and retries it at other targets if its target fails. Each
 * attempt may use an equal share of the time that is left.
 */
export class PlainService {
  constructor(private readonly deps: PlainCallDeps) {}

  call(request: ResolvedPlain): ResultAsync<PlainResponse, Refusal> {
    return new ResultAsync(this.tryTargets(request));
  }

  private async tryTargets(
    request: ResolvedPlain,
  ): Promise<Result<PlainResponse, Refusal>> {
    const tried: string[] = [];
    const limits = new LimitRefusals();
    const budget = this.deps.retryBudgets.forService(request.service);
    budget.recordFirstAttempt();
    let ran = Executed.NO;
    while (tried.length < MAX_ATTEMPTS) {
      const leftMs = request.deadlineAtMs - this.deps.clock.now();
      if (leftMs <= 0) return err(deadlineExceeded(ran));
      const target = this.choose(request, [...tried, ...limits.vms]);
      if (target === undefined) {
        if (limits.shortest !== undefined)
          return err({...limits.shortest, ran});
        await sleep(this.deps.clock, NO_TARGET_RETRY_MS);
        continue;
      }
      const attemptsLeft = MAX_ATTEMPTS - tried.length;
      const result = await this.callTarget(
        request,
        target,
        leftMs / attemptsLeft,
      );
      const refusal = result.isErr() ? result.error.refusal : undefined;
      if (refusal?.reason === RefusalReason.TARGET_LIMIT) {
        limits.add(target.vm, refusal);
        continue;
      }
      this.recordOutcome(target.vm, result);
      if (result.isOk() && result.value.response !== undefined) {
        return ok(result.value.response);
      }
      if (refusal?.ran === Executed.YES) return err(refusal);
      if (result.isErr() && mayHaveRun(result.error)) ran = Executed.UNKNOWN;
      tried.push(target.vm);
      if (tried.length === MAX_ATTEMPTS) break;
      if (!budget.tryTakeRetry()) return err(budgetSpent(ran));
      if (result.isErr()) this.countRetry(result.error);
    }
    return err(targetsFailed(ran));
  }

  private choose(
    request: ResolvedPlain,
    exclude: readonly string[],
  ): TargetView | undefined {
    const {chooser, links, dataCentre} = this.deps;
    const service = request.service.name;
    const query = {service, exclude, dataCentre, prefix: ''};
    return chooser.choose({query, targets: links.views()}).extract();
  }

  private async callTarget(
    request: ResolvedPlain,
    target: TargetView,
    timeoutMs: number,
  ): Promise<Result<AgentCallResult, CallError>> {
    const link = this.deps.links.find(target.vm);
    if (link === undefined) return err({kind: CallErrorKind.NOT_SENT});
    const message = createCall({
      request,
      callId: this.deps.random.id(),
      key: '',
      incarnation: target.incarnation,
      deadlineMs: timeoutMs,
    });
    const {clock, supervisor} = this.deps;
    return callAgent({link, message, timeoutMs, clock, supervisor});
  }

  private recordOutcome(
    vm: string,
    result: Result<AgentCallResult, CallError>,
  ): void {
    const status = result.isOk() ? (result.value.response?.status ?? 0) : 0;
    const failed = result.isErr() || status >= MIN_SERVER_ERROR_STATUS;
    this.deps.failures.recordOutcome({vm, failed});
  }

  private countRetry(error: CallError): void {
    this.deps.metrics.countRetry(RETRY_REASONS[error.kind]);
  }
}

const RETRY_REASONS: Readonly<Record<CallErrorKind, RetryReason>> = {
  [CallErrorKind.NOT_SENT]: RetryReason.NOT_SENT,
  [CallErrorKind.REFUSED]: RetryReason.TARGET_REFUSED,
  [CallErrorKind.LOST]: RetryReason.CALL_LOST,
  [CallErrorKind.TIMEOUT]: RetryReason.CALL_SLOW,
};

function mayHaveRun(error: CallError): boolean {
  if (error.kind === CallErrorKind.NOT_SENT) return false;
  return error.refusal?.ran !== Executed.NO;
}

function deadlineExceeded(ran: Executed): Refusal {
  return {
    reason: RefusalReason.DEADLINE_EXCEEDED,
    ran,
    detail: 'no target answered in time',
    retryAfterMs: RETRY_AFTER_MS,
  };
}

function budgetSpent(ran: Executed): Refusal {
  return {
    reason: RefusalReason.RETRY_BUDGET_SPENT,
    ran,
    detail: 'the target failed and the service has no retries left',
    retryAfterMs: RETRY_AFTER_MS,
  };
}

function targetsFailed(ran: Executed): Refusal {
  return {
    reason: RefusalReason.TARGET_FAILED,
    ran,
    detail: 'the targets that were tried failed',
    retryAfterMs: RETRY_AFTER_MS,
  };
}

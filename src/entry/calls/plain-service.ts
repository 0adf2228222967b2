/** Calls to plain services that may be repeated freely. */
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
import type {AgentCallResult, CallError} from './agent-call.js';
import {callAgent, CallErrorKind} from './agent-call.js';
import type {AgentLinks} from '../links/agent-links.js';
import {NO_TARGET_RETRY_MS, RETRY_AFTER_MS} from '../consts.js';
import type {ResolvedPlain} from './plain-request.js';
import {createCall} from './plain-request.js';

/** Tries of one call, at most. */
const MAX_TRIES = 3;

/** Statuses from here on are failures of the target itself. */
const SERVER_ERROR = 500;

/** What plain calls need of their entry. */
export interface PlainCallDeps {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly metrics: Metrics;
  readonly links: AgentLinks;
  readonly chooser: TargetChooser;
  readonly failures: OutlierDetector;
  readonly retryBudgets: RetryBudgets;
  readonly dataCentre: string;
}

/** Sends a call, and sends it elsewhere when its target fails. */
export class PlainService {
  constructor(private readonly parts: PlainCallDeps) {}

  call(request: ResolvedPlain): ResultAsync<PlainResponse, Refusal> {
    return new ResultAsync(this.tryTargets(request));
  }

  private async tryTargets(
    request: ResolvedPlain,
  ): Promise<Result<PlainResponse, Refusal>> {
    const tried: string[] = [];
    const budget = this.parts.retryBudgets.forService(request.service);
    budget.recordFirstAttempt();
    let ran = Executed.NO;
    while (tried.length < MAX_TRIES) {
      const leftMs = request.deadlineAtMs - this.parts.clock.now();
      if (leftMs <= 0) return err(deadlineExceeded(ran));
      const target = this.choose(request, tried);
      if (target === undefined) {
        await sleep(this.parts.clock, NO_TARGET_RETRY_MS);
        continue;
      }
      const triesLeft = MAX_TRIES - tried.length;
      const answer = await this.askTarget(request, target, leftMs / triesLeft);
      this.noteOutcome(target.vm, answer);
      if (answer.isOk() && answer.value.response !== undefined) {
        return ok(answer.value.response);
      }
      const refusal = answer.isErr() ? answer.error.refusal : undefined;
      if (refusal?.ran === Executed.YES) return err(refusal);
      if (answer.isErr() && mayHaveRun(answer.error)) ran = Executed.UNKNOWN;
      tried.push(target.vm);
      if (tried.length === MAX_TRIES) break;
      if (!budget.tryTakeRetry()) return err(budgetSpent(ran));
      if (answer.isErr()) this.countRetry(answer.error);
    }
    return err(targetsFailed(ran));
  }

  private choose(
    request: ResolvedPlain,
    exclude: readonly string[],
  ): TargetView | undefined {
    const {chooser, links, dataCentre} = this.parts;
    const service = request.service.name;
    const query = {service, exclude, dataCentre, prefix: ''};
    return chooser.choose({query, targets: links.views()}).extract();
  }

  private async askTarget(
    request: ResolvedPlain,
    target: TargetView,
    timeoutMs: number,
  ): Promise<Result<AgentCallResult, CallError>> {
    const link = this.parts.links.find(target.vm);
    if (link === undefined) return err({kind: CallErrorKind.NOT_SENT});
    const message = createCall({
      request,
      callId: this.parts.random.id(),
      key: '',
      incarnation: target.incarnation,
      deadlineMs: timeoutMs,
    });
    const {clock} = this.parts;
    return callAgent({link, message, timeoutMs, clock});
  }

  private noteOutcome(
    vm: string,
    answer: Result<AgentCallResult, CallError>,
  ): void {
    const status = answer.isOk() ? (answer.value.response?.status ?? 0) : 0;
    const failed = answer.isErr() || status >= SERVER_ERROR;
    this.parts.failures.recordOutcome({vm, failed});
  }

  private countRetry(error: CallError): void {
    this.parts.metrics.countRetry(RETRY_REASONS[error.kind]);
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

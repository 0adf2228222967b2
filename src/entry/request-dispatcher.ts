/** Serves callers' requests, from authentication to the response. */
import {createHash} from 'node:crypto';

import type {Result} from 'neverthrow';
import {err, errAsync, ok, ResultAsync} from 'neverthrow';

import type {Admission} from '../core/admission/index.js';
import {TicketOutcome} from '../core/admission/index.js';
import type {Clock} from '../core/clock/index.js';
import type {
  ClientAccountConfig,
  LimitsConfig,
  ServiceConfig,
  SiteConfig,
} from '../core/config/index.js';
import {DEFAULT_LIMITS, ServiceKind} from '../core/config/index.js';
import type {
  OutputReader,
  CallerHandler,
  GenerationReq,
  PlainReq,
  PlainResponse,
  RequestHead,
} from '../core/edges/index.js';
import type {Refusal} from '../core/errors/index.js';
import {Executed, RefusalReason} from '../core/errors/index.js';
import {fingerprintOf} from '../core/generation/index.js';
import type {Metrics} from '../core/metrics/index.js';
import {CounterName, LatencyName} from '../core/metrics/index.js';
import type {Supervisor} from '../core/supervision/index.js';
import {runOrElse, TaskName} from '../core/supervision/index.js';
import type {BookingService} from './calls/booking-service.js';
import {ENTRY_FAILED_DETAIL, RETRY_AFTER_MS} from './consts.js';
import type {EntryBoard} from './entry-board.js';
import type {GenerationService} from './generation/generation-service.js';
import type {ResolvedPlain} from './calls/plain-request.js';
import type {PlainService} from './calls/plain-service.js';
import {applyKeyUncertainty} from './calls/key-uncertainty.js';

const IDEMPOTENCY_KEY_PATTERN = /^[\x21-\x7e]{1,128}$/;

/** Dependencies of the dispatcher. */
export interface RequestDispatcherOptions {
  readonly board: EntryBoard;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly admission: Admission;
  readonly generations: GenerationService;
  readonly bookings: BookingService;
  readonly plain: PlainService;
  readonly supervisor: Supervisor;
}

interface AuthenticatedCaller {
  readonly cfg: SiteConfig;
  readonly clientAccount: ClientAccountConfig;
}

/** Checks requests against the configuration and dispatches them. */
export class RequestDispatcher implements CallerHandler {
  private inFlight = 0;

  constructor(private readonly options: RequestDispatcherOptions) {}

  /** Returns the number of plain calls and bookings without a response yet. */
  countRunning(): number {
    return this.inFlight;
  }

  limits(): LimitsConfig {
    const active = this.options.board.config.get().extract();
    return active?.cfg.limits ?? DEFAULT_LIMITS;
  }

  authenticate(head: RequestHead): Result<void, Refusal> {
    return this.identify(head.bearer)
      .map(() => undefined)
      .mapErr((refusal) =>
        this.countAndReturn(applyKeyUncertainty(head, refusal)),
      );
  }

  countRefusal(refusal: Refusal): void {
    this.options.metrics.countRefusal(refusal.reason);
  }

  generate(req: GenerationReq): ResultAsync<OutputReader, Refusal> {
    this.options.metrics.count(CounterName.REQUESTS, {label: 'generation'});
    return this.identify(req.bearer)
      .andThen((caller) => this.resolveGeneration(caller, req))
      .asyncAndThen((request) => this.options.generations.generate(request))
      .mapErr((refusal) => this.countAndReturn(refusal));
  }

  call(req: PlainReq): ResultAsync<PlainResponse, Refusal> {
    this.options.metrics.count(CounterName.REQUESTS, {label: 'plain'});
    const resolved = this.identify(req.bearer).andThen((caller) =>
      this.resolvePlain(caller, req),
    );
    if (resolved.isErr()) {
      return errAsync(
        this.countAndReturn(applyKeyUncertainty(req, resolved.error)),
      );
    }
    const {supervisor} = this.options;
    const request = resolved.value;
    const startedAtMs = this.options.clock.now();
    this.inFlight++;
    return new ResultAsync(
      runOrElse({
        supervisor,
        task: {name: TaskName.REQUEST},
        work: () => this.admitAndCall(request),
        orElse: () => err(entryFailedRefusal(request)),
      }).then((result) => {
        this.inFlight--;
        const ms = this.options.clock.now() - startedAtMs;
        this.options.metrics.observe({name: LatencyName.PLAIN_CALL, ms});
        return result.mapErr((refusal) => this.countAndReturn(refusal));
      }),
    );
  }

  private async admitAndCall(
    request: ResolvedPlain,
  ): Promise<Result<PlainResponse, Refusal>> {
    const {req, clientAccount, service, deadlineAtMs} = request;
    const ticket = await this.options.admission.admit({
      clientAccount,
      service,
      deadlineAtMs,
      maxTokens: 0,
      signal: req.signal,
    });
    if (ticket.isErr()) return this.handleNoTicket(request, ticket.error);
    let outcome = TicketOutcome.FAILED;
    try {
      const result = await (service.idempotent
        ? this.options.plain.call(request)
        : this.options.bookings.call(request));
      outcome = ticketOutcomeOf(result);
      return result;
    } finally {
      ticket.value.release(outcome);
    }
  }

  /**
   * Handles a call that was not admitted. A booking is run even if no target is
   * usable: if it is a retry, its caller receives the first outcome.
   */
  private async handleNoTicket(
    request: ResolvedPlain,
    refusal: Refusal,
  ): Promise<Result<PlainResponse, Refusal>> {
    if (request.service.idempotent) return err(refusal);
    if (refusal.reason === RefusalReason.NO_TARGET) {
      return this.options.bookings.call(request);
    }
    return err(applyKeyUncertainty(request.req, refusal));
  }

  private identify(bearer: string): Result<AuthenticatedCaller, Refusal> {
    const {board} = this.options;
    if (board.draining.get()) return err(drainingRefusal());
    const active = board.config.get().extract();
    if (active === undefined) return err(notReadyRefusal());
    const {cfg} = active;
    const digest = createHash('sha256').update(bearer).digest('hex');
    const clientAccount = cfg.clientAccounts.find(
      (account) => account.keySha256 === digest,
    );
    if (bearer === '' || clientAccount === undefined) {
      return err(createRefusal(RefusalReason.UNAUTHENTICATED, 'unknown key'));
    }
    return ok({cfg, clientAccount});
  }

  private resolveGeneration(
    caller: AuthenticatedCaller,
    req: GenerationReq,
  ): Result<
    {
      req: GenerationReq;
      clientAccount: ClientAccountConfig;
      service: ServiceConfig;
    },
    Refusal
  > {
    const {cfg, clientAccount} = caller;
    const {model, maxTokens} = req.spec;
    const service = cfg.services.find(
      (s) => s.kind === ServiceKind.GENERATION && s.models.includes(model),
    );
    if (service === undefined) {
      const detail = `no service serves the model "${model}"`;
      return err(createRefusal(RefusalReason.UNKNOWN_SERVICE, detail));
    }
    if (maxTokens > cfg.limits.maxTokens) {
      const detail = `max_tokens is at most ${cfg.limits.maxTokens}`;
      return err(createRefusal(RefusalReason.BAD_REQUEST, detail));
    }
    return ok({req, clientAccount, service});
  }

  private resolvePlain(
    caller: AuthenticatedCaller,
    req: PlainReq,
  ): Result<ResolvedPlain, Refusal> {
    const {cfg, clientAccount} = caller;
    const service = cfg.services.find(
      (s) => s.kind === ServiceKind.PLAIN && s.name === req.service,
    );
    if (service === undefined) {
      const detail = `there is no service "${req.service}"`;
      return err(createRefusal(RefusalReason.UNKNOWN_SERVICE, detail));
    }
    const keyRefusal = checkIdempotencyKey(service, req.idempotencyKey);
    if (keyRefusal !== undefined) return err(keyRefusal);
    const fingerprint = fingerprintOf({
      clientAccount: clientAccount.name,
      parts: [req.service, req.method, req.path, req.body],
    });
    const allowedMs = req.deadlineMs ?? service.deadlineMs;
    const deadlineAtMs = this.options.clock.now() + allowedMs;
    return ok({req, clientAccount, service, fingerprint, deadlineAtMs});
  }

  private countAndReturn(refusal: Refusal): Refusal {
    this.countRefusal(refusal);
    return refusal;
  }
}

function ticketOutcomeOf(
  result: Result<PlainResponse, Refusal>,
): TicketOutcome {
  if (result.isOk()) return TicketOutcome.SERVED;
  return result.error.reason === RefusalReason.DEADLINE_EXCEEDED
    ? TicketOutcome.TIMED_OUT
    : TicketOutcome.FAILED;
}

function checkIdempotencyKey(
  service: ServiceConfig,
  key: string,
): Refusal | undefined {
  if (service.idempotent) return undefined;
  if (key === '') {
    const detail = 'this service needs an Idempotency-Key';
    return createRefusal(RefusalReason.KEY_MISSING, detail);
  }
  if (IDEMPOTENCY_KEY_PATTERN.test(key)) return undefined;
  const detail = 'the Idempotency-Key is 1 to 128 visible ASCII characters';
  return createRefusal(RefusalReason.KEY_INVALID, detail);
}

function drainingRefusal(): Refusal {
  const reason = RefusalReason.LEAVING;
  const detail = 'this entry is leaving';
  return {reason, ran: Executed.NO, detail, retryAfterMs: RETRY_AFTER_MS};
}

function notReadyRefusal(): Refusal {
  const reason = RefusalReason.NOT_READY;
  const detail = 'no configuration is in force yet';
  return {reason, ran: Executed.NO, detail, retryAfterMs: RETRY_AFTER_MS};
}

function entryFailedRefusal({service}: ResolvedPlain): Refusal {
  const reason = service.idempotent
    ? RefusalReason.TARGET_FAILED
    : RefusalReason.OUTCOME_UNKNOWN;
  return {reason, ran: Executed.UNKNOWN, detail: ENTRY_FAILED_DETAIL};
}

function createRefusal(reason: RefusalReason, detail: string): Refusal {
  return {reason, ran: Executed.NO, detail};
}

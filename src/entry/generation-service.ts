/** Serves generations: new ones, and ones that callers come back to. */
import type {ResultAsync} from 'neverthrow';
import {errAsync, okAsync} from 'neverthrow';

import type {Admission, AdmissionTicket} from '../core/admission/index.js';
import {TicketOutcome, WorkKind} from '../core/admission/index.js';
import type {TimerHandle} from '../core/clock/index.js';
import type {ClientAccountConfig, ServiceConfig} from '../core/config/types.js';
import type {AnswerReader, GenerationReq} from '../core/edges/index.js';
import type {Refusal} from '../core/errors/index.js';
import {Ran, RefusalReason} from '../core/errors/index.js';
import type {EventId} from '../core/generation/index.js';
import {
  decodeEventId,
  fingerprintOf,
  LogState,
} from '../core/generation/index.js';
import {AnswerCopy} from './answer-copy.js';
import {COPY_RETENTION_MS, COPY_SWEEP_MS} from './consts.js';
import type {RunOrder, RunParts} from './generation-run.js';
import {GenerationRun} from './generation-run.js';

/** A request whose account and service are known. */
export interface ResolvedGeneration {
  readonly req: GenerationReq;
  readonly clientAccount: ClientAccountConfig;
  readonly service: ServiceConfig;
}

interface HeldAnswer {
  readonly copy: AnswerCopy;
  readonly run: GenerationRun;
}

/** Holds the copies of this entry's answers. */
export class GenerationService {
  private readonly held = new Map<string, HeldAnswer>();
  private sweeper: TimerHandle | undefined;

  constructor(
    private readonly options: {
      parts: RunParts;
      admission: Admission;
      entryVm: string;
    },
  ) {}

  open(): void {
    this.sweeper = this.options.parts.clock.repeat({
      periodMs: COPY_SWEEP_MS,
      run: () => this.sweep(),
    });
  }

  close(): void {
    this.sweeper?.cancel();
  }

  /** Answers that somebody reads or that still run. */
  countRunning(): number {
    let running = 0;
    for (const {copy} of this.held.values()) {
      if (copy.unreadForMs() === 0) running++;
    }
    return running;
  }

  generate(request: ResolvedGeneration): ResultAsync<AnswerReader, Refusal> {
    const {lastEventId} = request.req;
    if (lastEventId === '') return this.begin(request, false);
    return decodeEventId(lastEventId)
      .mapErr((e) => badEventId(e.detail))
      .asyncAndThen((id) => this.goOn(request, id));
  }

  private begin(
    request: ResolvedGeneration,
    restarted: boolean,
  ): ResultAsync<AnswerReader, Refusal> {
    const order = this.createOrder(request, this.options.parts.random.id());
    const kind = restarted ? WorkKind.RESUME : WorkKind.NEW;
    return this.admit({request, order, kind}).map((ticket) => {
      this.options.parts.retryBudgets.of(request.service).noteFirstTry();
      const {copy, run} = this.hold(order, ticket);
      const reader = copy.read({position: 0, restarted});
      run.start();
      return reader;
    });
  }

  private goOn(
    request: ResolvedGeneration,
    id: EventId,
  ): ResultAsync<AnswerReader, Refusal> {
    const order = this.createOrder(request, id.requestId);
    const held = this.held.get(id.requestId);
    if (held !== undefined) {
      if (!held.copy.belongsTo(order)) {
        return errAsync(badEventId('the answer is of another request'));
      }
      if (held.copy.covers(id)) {
        const {position} = id;
        return okAsync(held.copy.read({position, restarted: false}));
      }
    }
    return this.adopt(request, order, id);
  }

  /** Takes over an answer whose journal is at an agent. */
  private adopt(
    request: ResolvedGeneration,
    order: RunOrder,
    id: EventId,
  ): ResultAsync<AnswerReader, Refusal> {
    const link = this.options.parts.links.find(id.agentVm);
    const alive = link?.view().incarnation === id.agentIncarnation;
    if (!alive || link?.isConnected() !== true) {
      return this.begin(request, true);
    }
    const kind = WorkKind.RUNNING;
    return this.admit({request, order, kind}).map((ticket) => {
      const {copy, run} = this.hold(order, ticket);
      const {position} = id;
      const reader = copy.read({position, restarted: false});
      run.attach(id);
      return reader;
    });
  }

  private admit(options: {
    request: ResolvedGeneration;
    order: RunOrder;
    kind: WorkKind;
  }): ResultAsync<AdmissionTicket, Refusal> {
    const {request, order, kind} = options;
    const {clientAccount, service, req} = request;
    const {deadlineAtMs, spec} = order;
    const {maxTokens} = spec;
    return this.options.admission.admit({
      clientAccount,
      service,
      deadlineAtMs,
      maxTokens,
      kind,
      signal: req.signal,
    });
  }

  private hold(order: RunOrder, ticket: AdmissionTicket): HeldAnswer {
    const {parts, entryVm} = this.options;
    const copy = new AnswerCopy({
      requestId: order.requestId,
      clientAccount: order.clientAccount,
      fingerprint: order.fingerprint,
      entryVm,
      now: () => parts.clock.now(),
    });
    const onDone = (): void => ticket.release(outcomeOf(copy));
    const held = {copy, run: new GenerationRun(order, copy, parts, onDone)};
    this.held.set(order.requestId, held);
    return held;
  }

  private createOrder(
    request: ResolvedGeneration,
    requestId: string,
  ): RunOrder {
    const {req, clientAccount, service} = request;
    const allowedMs = req.deadlineMs ?? service.deadlineMs;
    return {
      requestId,
      clientAccount: clientAccount.name,
      fingerprint: fingerprintOf({
        clientAccount: clientAccount.name,
        parts: [JSON.stringify(req.spec)],
      }),
      service: service.name,
      retryRatio: service.retryRatio,
      spec: req.spec,
      deadlineAtMs: this.options.parts.clock.now() + allowedMs,
    };
  }

  private sweep(): void {
    for (const [id, {copy, run}] of this.held) {
      if (copy.unreadForMs() <= COPY_RETENTION_MS) continue;
      run.abandon();
      this.held.delete(id);
    }
  }
}

function outcomeOf(copy: AnswerCopy): TicketOutcome {
  if (copy.log.state === LogState.FINISHED) return TicketOutcome.SERVED;
  return copy.refusal?.reason === RefusalReason.DEADLINE_EXCEEDED
    ? TicketOutcome.TIMED_OUT
    : TicketOutcome.FAILED;
}

function badEventId(detail: string): Refusal {
  return {reason: RefusalReason.BAD_EVENT_ID, ran: Ran.NO, detail};
}

/** Serves generations: new ones, and ones that callers come back to. */
import type {ResultAsync} from 'neverthrow';
import {errAsync, okAsync} from 'neverthrow';

import type {Admission, AdmissionTicket} from '../../core/admission/index.js';
import {TicketOutcome, WorkKind} from '../../core/admission/index.js';
import type {TimerHandle} from '../../core/clock/index.js';
import type {
  ClientAccountConfig,
  ServiceConfig,
} from '../../core/config/types.js';
import type {
  OutputReader,
  GenerationReq,
  VmRecord,
} from '../../core/edges/index.js';
import {VmRole} from '../../core/edges/index.js';
import type {Refusal} from '../../core/errors/index.js';
import {Executed, RefusalReason} from '../../core/errors/index.js';
import type {EventId} from '../../core/generation/index.js';
import {
  decodeEventId,
  fingerprintOf,
  LogState,
} from '../../core/generation/index.js';
import type {HelloMessage, MessageRouter} from '../../core/protocol/index.js';
import {OutputBuffer} from './output-buffer.js';
import {OUTPUT_RETENTION_MS, OUTPUT_SWEEP_PERIOD_MS} from '../consts.js';
import type {EntryBoard} from '../entry-board.js';
import {RemoteOutputLink} from './remote-output-link.js';
import {OutputBufferServer} from './output-buffer-server.js';
import {poisonRequestQuarantined} from './run-refusals.js';
import type {
  OutputSource,
  GenerationTask,
  GenerationDeps,
} from './run-types.js';
import {GenerationRun} from './generation-run.js';

/** A request whose account and service are known. */
export interface ResolvedGeneration {
  readonly req: GenerationReq;
  readonly clientAccount: ClientAccountConfig;
  readonly service: ServiceConfig;
}

interface HeldAnswer {
  readonly copy: OutputBuffer;
  readonly run: GenerationRun;
}

/** Holds the copies of this entry's answers. */
export class GenerationService {
  private readonly held = new Map<string, HeldAnswer>();
  private sweeper: TimerHandle | undefined;

  constructor(
    private readonly options: {
      parts: GenerationDeps;
      admission: Admission;
      board: EntryBoard;
      hello: HelloMessage;
      router: MessageRouter;
    },
  ) {}

  open(): void {
    const {parts, router} = this.options;
    const {clock, quarantine} = parts;
    const findCopy = (id: string): OutputBuffer | undefined =>
      this.held.get(id)?.copy;
    new OutputBufferServer({clock, findCopy}).register(router);
    quarantine.subscribe((poisonKey, culprit) => {
      for (const {run} of this.held.values()) {
        run.handlePoisonRequest(poisonKey, culprit);
      }
    });
    this.sweeper = this.options.parts.clock.repeat({
      periodMs: OUTPUT_SWEEP_PERIOD_MS,
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

  generate(request: ResolvedGeneration): ResultAsync<OutputReader, Refusal> {
    const {lastEventId} = request.req;
    const {poisonFingerprint: poisonKey} = this.createOrder(request, '');
    if (this.options.parts.quarantine.has(poisonKey)) {
      return errAsync(poisonRequestQuarantined());
    }
    if (lastEventId === '') return this.begin(request, false);
    return decodeEventId(lastEventId)
      .mapErr((e) => badEventId(e.detail))
      .asyncAndThen((id) => this.goOn(request, id));
  }

  private begin(
    request: ResolvedGeneration,
    restarted: boolean,
  ): ResultAsync<OutputReader, Refusal> {
    const order = this.createOrder(request, this.options.parts.random.id());
    const kind = restarted ? WorkKind.RESUME : WorkKind.NEW;
    return this.admit({request, order, kind}).map((ticket) => {
      this.options.parts.retryBudgets
        .forService(request.service)
        .recordFirstAttempt();
      const {copy, run} = this.hold(order, ticket);
      const reader = copy.read({position: 0, restarted});
      run.start();
      return reader;
    });
  }

  private goOn(
    request: ResolvedGeneration,
    id: EventId,
  ): ResultAsync<OutputReader, Refusal> {
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

  /** Takes over an answer that an agent or another entry has. */
  private adopt(
    request: ResolvedGeneration,
    order: GenerationTask,
    id: EventId,
  ): ResultAsync<OutputReader, Refusal> {
    const sources = this.findSources(id);
    if (sources.length === 0) return this.begin(request, true);
    const kind = WorkKind.RUNNING;
    return this.admit({request, order, kind}).map((ticket) => {
      this.held.get(order.requestId)?.run.abandon();
      const {copy, run} = this.hold(order, ticket);
      const {position} = id;
      const reader = copy.read({position, restarted: false});
      run.resumeFrom(sources);
      return reader;
    });
  }

  /** The agent that journals the attempt, then the entry with a copy. */
  private findSources(id: EventId): OutputSource[] {
    const {parts, hello, board} = this.options;
    const {clock} = parts;
    const sources: OutputSource[] = [];
    const link = parts.links.find(id.agentVm);
    const isSame = link?.view().incarnation === id.agentIncarnation;
    if (link?.isConnected() === true && isSame) {
      sources.push({link, location: id, position: 0});
    }
    const isHolder = (vm: VmRecord): boolean =>
      vm.role === VmRole.ENTRY && vm.name === id.entryVm;
    const record = board.vms.get().find(isHolder);
    if (record !== undefined && record.name !== hello.vm) {
      const {position} = id;
      const copyLink = new RemoteOutputLink({record, hello, clock});
      sources.push({link: copyLink, location: id, position});
    }
    return sources;
  }

  private admit(options: {
    request: ResolvedGeneration;
    order: GenerationTask;
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

  private hold(order: GenerationTask, ticket: AdmissionTicket): HeldAnswer {
    const {parts, hello} = this.options;
    const copy = new OutputBuffer({
      requestId: order.requestId,
      clientAccount: order.clientAccount,
      fingerprint: order.fingerprint,
      entryVm: hello.vm,
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
  ): GenerationTask {
    const {req, clientAccount, service} = request;
    const allowedMs = req.deadlineMs ?? service.deadlineMs;
    return {
      requestId,
      clientAccount: clientAccount.name,
      fingerprint: fingerprintOf({
        clientAccount: clientAccount.name,
        parts: [JSON.stringify(req.spec)],
      }),
      poisonFingerprint: fingerprintOf({
        clientAccount: clientAccount.name,
        parts: [req.spec.model, req.spec.prompt],
      }),
      service: service.name,
      retryRatio: service.retryRatio,
      spec: req.spec,
      deadlineAtMs: this.options.parts.clock.now() + allowedMs,
    };
  }

  private sweep(): void {
    for (const [id, {copy, run}] of this.held) {
      if (copy.unreadForMs() <= OUTPUT_RETENTION_MS) continue;
      run.abandon();
      this.held.delete(id);
    }
  }
}

function outcomeOf(copy: OutputBuffer): TicketOutcome {
  if (copy.log.state === LogState.FINISHED) return TicketOutcome.SERVED;
  return copy.refusal?.reason === RefusalReason.DEADLINE_EXCEEDED
    ? TicketOutcome.TIMED_OUT
    : TicketOutcome.FAILED;
}

function badEventId(detail: string): Refusal {
  return {reason: RefusalReason.BAD_EVENT_ID, ran: Executed.NO, detail};
}

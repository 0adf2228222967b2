/** Serves new generations, and those that callers resume. */
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
import {TaskName} from '../../core/supervision/index.js';
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

/** A generation request with its client account and service. */
export interface ResolvedGeneration {
  readonly req: GenerationReq;
  readonly clientAccount: ClientAccountConfig;
  readonly service: ServiceConfig;
}

interface ActiveGeneration {
  readonly output: OutputBuffer;
  readonly run: GenerationRun;
}

/** Starts, finds and removes the generations of this entry. */
export class GenerationService {
  private readonly generations = new Map<string, ActiveGeneration>();
  private sweeper: TimerHandle | undefined;

  constructor(
    private readonly options: {
      deps: GenerationDeps;
      admission: Admission;
      board: EntryBoard;
      hello: HelloMessage;
      router: MessageRouter;
    },
  ) {}

  open(): void {
    const {deps, router} = this.options;
    const {clock, quarantine, supervisor} = deps;
    const findBuffer = (id: string): OutputBuffer | undefined =>
      this.generations.get(id)?.output;
    new OutputBufferServer({clock, supervisor, findBuffer}).register(router);
    quarantine.subscribe((poisonFingerprint, record) => {
      for (const {run} of this.generations.values()) {
        run.handlePoisonRequest(poisonFingerprint, record);
      }
    });
    this.sweeper = clock.repeat({
      periodMs: OUTPUT_SWEEP_PERIOD_MS,
      run: supervisor.guard({name: TaskName.GENERATION}, () => this.sweep()),
    });
  }

  close(): void {
    this.sweeper?.cancel();
  }

  /** Counts the generations that a caller or another entry reads. */
  countRunning(): number {
    let running = 0;
    for (const {output} of this.generations.values()) {
      if (output.unreadForMs() === 0) running++;
    }
    return running;
  }

  generate(request: ResolvedGeneration): ResultAsync<OutputReader, Refusal> {
    const {lastEventId} = request.req;
    const {poisonFingerprint} = this.createTask(request, '');
    if (this.options.deps.quarantine.has(poisonFingerprint)) {
      return errAsync(poisonRequestQuarantined());
    }
    if (lastEventId === '') return this.begin(request, false);
    return decodeEventId(lastEventId)
      .mapErr((e) => badEventId(e.detail))
      .asyncAndThen((id) => this.resume(request, id));
  }

  /**
   * Starts a generation from the first token. `restarted` means that the caller
   * wanted to resume an output that was not found.
   */
  private begin(
    request: ResolvedGeneration,
    restarted: boolean,
  ): ResultAsync<OutputReader, Refusal> {
    const task = this.createTask(request, this.options.deps.random.id());
    const kind = restarted ? WorkKind.RESUME : WorkKind.NEW;
    const start = (ticket: AdmissionTicket): OutputReader => {
      this.options.deps.retryBudgets
        .forService(request.service)
        .recordFirstAttempt();
      const {output, run} = this.createGeneration(task, ticket);
      const reader = output.read({position: 0, restarted});
      run.start();
      return reader;
    };
    return this.admit({request, task, kind}).map((ticket) =>
      releaseOnFailure(ticket, start),
    );
  }

  private resume(
    request: ResolvedGeneration,
    id: EventId,
  ): ResultAsync<OutputReader, Refusal> {
    const task = this.createTask(request, id.requestId);
    const generation = this.generations.get(id.requestId);
    if (generation !== undefined) {
      if (!generation.output.belongsTo(task)) {
        return errAsync(badEventId('the answer is of another request'));
      }
      if (generation.output.covers(id)) {
        const {position} = id;
        return okAsync(generation.output.read({position, restarted: false}));
      }
    }
    return this.takeOver(request, task, id);
  }

  /** Resumes an output that an agent or another entry has, or starts over. */
  private takeOver(
    request: ResolvedGeneration,
    task: GenerationTask,
    id: EventId,
  ): ResultAsync<OutputReader, Refusal> {
    const sources = this.findSources(id);
    if (sources.length === 0) return this.begin(request, true);
    const kind = WorkKind.RUNNING;
    const start = (ticket: AdmissionTicket): OutputReader => {
      this.generations.get(task.requestId)?.run.abandon();
      const {output, run} = this.createGeneration(task, ticket);
      const {position} = id;
      const reader = output.read({position, restarted: false});
      run.resumeFrom(sources);
      return reader;
    };
    return this.admit({request, task, kind}).map((ticket) =>
      releaseOnFailure(ticket, start),
    );
  }

  /**
   * Returns the agent that runs the attempt and the entry that buffers its
   * output, in the order in which they are tried.
   */
  private findSources(id: EventId): OutputSource[] {
    const {deps, hello, board} = this.options;
    const {clock, supervisor} = deps;
    const sources: OutputSource[] = [];
    const link = deps.links.find(id.agentVm);
    const isSameIncarnation = link?.view().incarnation === id.agentIncarnation;
    if (link?.isConnected() === true && isSameIncarnation) {
      sources.push({link, location: id, position: 0});
    }
    const isOutputHolder = (vm: VmRecord): boolean =>
      vm.role === VmRole.ENTRY && vm.name === id.entryVm;
    const record = board.vms.get().find(isOutputHolder);
    if (record !== undefined && record.name !== hello.vm) {
      const {position} = id;
      const linkOptions = {record, hello, clock, supervisor};
      const remoteLink = new RemoteOutputLink(linkOptions);
      sources.push({link: remoteLink, location: id, position});
    }
    return sources;
  }

  private admit(options: {
    request: ResolvedGeneration;
    task: GenerationTask;
    kind: WorkKind;
  }): ResultAsync<AdmissionTicket, Refusal> {
    const {request, task, kind} = options;
    const {clientAccount, service, req} = request;
    const {deadlineAtMs, spec} = task;
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

  private createGeneration(
    task: GenerationTask,
    ticket: AdmissionTicket,
  ): ActiveGeneration {
    const {deps, hello} = this.options;
    const output = new OutputBuffer({
      requestId: task.requestId,
      clientAccount: task.clientAccount,
      fingerprint: task.fingerprint,
      entryVm: hello.vm,
      now: () => deps.clock.now(),
    });
    const onDone = (): void => ticket.release(ticketOutcomeOf(output));
    const generation = {
      output,
      run: new GenerationRun(task, output, deps, onDone),
    };
    this.generations.set(task.requestId, generation);
    return generation;
  }

  private createTask(
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
      deadlineAtMs: this.options.deps.clock.now() + allowedMs,
    };
  }

  /** Ends and removes the generations that were not read for too long. */
  private sweep(): void {
    for (const [id, {output, run}] of this.generations) {
      if (output.unreadForMs() <= OUTPUT_RETENTION_MS) continue;
      run.abandon();
      this.generations.delete(id);
    }
  }
}

/** Starts a generation; frees its slot if that fails. */
function releaseOnFailure<T>(
  ticket: AdmissionTicket,
  start: (ticket: AdmissionTicket) => T,
): T {
  try {
    return start(ticket);
  } catch (cause) {
    ticket.release(TicketOutcome.FAILED);
    throw cause;
  }
}

function ticketOutcomeOf(output: OutputBuffer): TicketOutcome {
  if (output.log.state === LogState.FINISHED) return TicketOutcome.SERVED;
  return output.refusal?.reason === RefusalReason.DEADLINE_EXCEEDED
    ? TicketOutcome.TIMED_OUT
    : TicketOutcome.FAILED;
}

function badEventId(detail: string): Refusal {
  return {reason: RefusalReason.BAD_EVENT_ID, ran: Executed.NO, detail};
}

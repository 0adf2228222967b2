/** The connection of one entry to this agent. */
import type {Clock, TimerHandle} from '../core/clock/index.js';
import type {Refusal} from '../core/errors/index.js';
import {Executed, RefusalReason} from '../core/errors/index.js';
import {CounterName} from '../core/metrics/index.js';
import type {Metrics} from '../core/metrics/index.js';
import type {
  AttachMessage,
  ConfigMessage,
  ConnectionListener,
  Message,
  PeerConnection,
  StartMessage,
  TransportError,
} from '../core/protocol/index.js';
import {createRefusedMessage, MessageType} from '../core/protocol/index.js';
import type {Supervisor} from '../core/supervision/index.js';
import {TaskName} from '../core/supervision/index.js';
import type {AgentBoard} from './agent-board.js';
import type {AttemptTable} from './attempt-table.js';
import type {Attempt} from './attempt.js';
import {AttemptReader} from './attempt-reader.js';
import type {CallRunner, Respond} from './call-runner.js';
import type {ConfigReceiver} from './config-receiver.js';
import type {DrainPeers} from './drain-peers.js';
import {
  HEARTBEAT_BUSY_MS,
  HEARTBEAT_IDLE_MS,
  HEARTBEAT_BUSY_MAX_MS,
} from './consts.js';

/** Dependencies of a session. */
export interface SessionDeps {
  readonly board: AgentBoard;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Defined if the target is an engine. */
  readonly attempts?: AttemptTable;
  /** Defined if the target is a plain service. */
  readonly calls?: CallRunner;
  countRunning(): number;
  readonly peers: DrainPeers;
  readonly config: ConfigReceiver;
  readonly supervisor: Supervisor;
}

/** Handles the messages of one entry and sends it heartbeats. */
export class EntrySession implements ConnectionListener {
  private readonly readers = new Map<string, AttemptReader>();
  private readonly unsubscribes: Array<() => void> = [];
  /** Calls and key queries without a response yet. */
  private pendingCalls = 0;
  /** Sequence number of the next heartbeat. */
  private sequence = 0;
  private timer: TimerHandle | undefined;
  private heartbeatSentAtMs = 0;

  constructor(
    private readonly deps: SessionDeps,
    private readonly connection: () => PeerConnection,
  ) {}

  onReady(): void {
    const {board, clock, supervisor} = this.deps;
    const task = {name: TaskName.ENTRIES};
    const onChange = supervisor.guard(task, () => this.sendHeartbeat());
    this.deps.peers.add(this);
    this.unsubscribes.push(board.draining.subscribe(onChange));
    this.unsubscribes.push(board.phase.subscribe(onChange));
    this.unsubscribes.push(board.configVersion.subscribe(onChange));
    onChange();
    this.timer = clock.repeat({
      periodMs: HEARTBEAT_BUSY_MS,
      run: supervisor.guard(task, () => this.sendHeartbeatIfDue()),
    });
  }

  onMessage(message: Message): void {
    switch (message.type) {
      case MessageType.START:
        this.runFor(message.attemptId, () => this.handleStart(message));
        return;
      case MessageType.ATTACH:
        this.runFor(message.attemptId, () => this.handleAttach(message));
        return;
      case MessageType.DETACH:
        this.readers.get(message.attemptId)?.close();
        return;
      case MessageType.CANCEL:
        this.handleCancel(message.attemptId);
        return;
      case MessageType.CALL:
        this.handleCall(message.callId, (respond) =>
          this.deps.calls?.handleCall(message, respond),
        );
        return;
      case MessageType.CONFIG:
        this.handleConfig(message);
        return;
      case MessageType.LEAVE:
        this.deps.peers.acknowledge(this);
        return;
      case MessageType.ASK_KEY:
        this.handleCall(message.callId, (respond) =>
          this.deps.calls?.handleKeyQuery(message, respond),
        );
        return;
      default:
        return;
    }
  }

  onDrain(): void {
    for (const reader of [...this.readers.values()]) reader.flush();
  }

  onClose(err: TransportError): void {
    this.deps.peers.remove(this);
    this.timer?.cancel();
    for (const unsubscribe of this.unsubscribes) unsubscribe();
    for (const reader of [...this.readers.values()])
      this.deps.supervisor.run({name: TaskName.GENERATION}, () =>
        reader.close(),
      );
    this.deps.metrics.count(CounterName.CONNECTIONS_CLOSED, {
      label: err.kind,
    });
  }

  /** Refuses the attempt if its message cannot be handled. */
  private runFor(attemptId: string, work: () => void): void {
    const onFailure = () => {
      this.readers.get(attemptId)?.close();
      this.deps.attempts?.find(attemptId)?.cancel();
      this.sendRefusal(attemptId, failureRefusal());
    };
    const {supervisor} = this.deps;
    supervisor.run({name: TaskName.GENERATION, onFailure}, work);
  }

  /** Handles a call or a key query; responds exactly once if it fails. */
  private handleCall(callId: string, handle: (respond: Respond) => void): void {
    let hasResponded = false;
    this.pendingCalls++;
    const respond: Respond = (message) => {
      if (hasResponded) return;
      this.connection().send(message);
      hasResponded = true;
      this.pendingCalls--;
    };
    const refusal = failureRefusal();
    const onFailure = () =>
      respond(createRefusedMessage({id: callId, refusal}));
    const {supervisor} = this.deps;
    supervisor.run({name: TaskName.CALL, onFailure}, () => handle(respond));
  }

  private handleConfig(message: ConfigMessage): void {
    const response = this.deps.config.handleMessage(message);
    if (response !== undefined) this.connection().send(response);
  }

  private handleStart(request: StartMessage): void {
    const {attempts} = this.deps;
    const refusal = attempts?.checkAdmission(request) ?? undefined;
    if (attempts === undefined || refusal !== undefined) {
      this.sendRefusal(request.attemptId, refusal ?? noEngineRefusal());
      return;
    }
    this.startReader(attempts.start(request), request.resumeFrom.length);
  }

  /** Closes the reader; cancels the attempt unless another entry reads it. */
  private handleCancel(attemptId: string): void {
    const attempt = this.deps.attempts?.find(attemptId);
    this.readers.get(attemptId)?.close();
    if (attempt?.hasReaders === false) attempt.cancel();
  }

  private handleAttach(attach: AttachMessage): void {
    const attempt = this.deps.attempts?.find(attach.attemptId);
    const isSameRequest =
      attempt?.request.clientAccount === attach.clientAccount &&
      attempt.request.fingerprint === attach.fingerprint;
    if (attempt === undefined || !isSameRequest) {
      const detail = 'this attempt is not known here';
      const reason = RefusalReason.ANSWER_LOST;
      this.sendRefusal(attach.attemptId, {
        reason,
        ran: Executed.UNKNOWN,
        detail,
      });
      return;
    }
    this.startReader(attempt, attach.position);
  }

  private startReader(attempt: Attempt, position: number): void {
    const {attemptId} = attempt.request;
    this.readers.get(attemptId)?.close();
    const reader = new AttemptReader(
      {
        attempt,
        connection: this.connection(),
        supervisor: this.deps.supervisor,
        onDone: () => this.readers.delete(attemptId),
      },
      position,
    );
    this.readers.set(attemptId, reader);
  }

  private sendRefusal(id: string, refusal: Refusal): void {
    this.connection().send(createRefusedMessage({id, refusal}));
  }

  private sendHeartbeatIfDue(): void {
    const isBusy = this.readers.size > 0 || this.pendingCalls > 0;
    const nowMs = this.deps.clock.now();
    const sinceHeartbeatMs = nowMs - this.heartbeatSentAtMs;
    // Any message shows a busy entry that the agent is alive, so heartbeats may
    // be less frequent while other messages are sent.
    const sinceLastSentMs = nowMs - this.connection().sentAtMs;
    const periodMs = isBusy ? HEARTBEAT_BUSY_MS : HEARTBEAT_IDLE_MS;
    const elapsedMs = isBusy ? sinceLastSentMs : sinceHeartbeatMs;
    // The margin keeps a timer that fires slightly early from skipping a
    // period.
    const isDue = elapsedMs >= periodMs - HEARTBEAT_BUSY_MS / 2;
    if (!isDue && !(isBusy && sinceHeartbeatMs >= HEARTBEAT_BUSY_MAX_MS))
      return;
    this.sendHeartbeat();
  }

  private sendHeartbeat(): void {
    const {board} = this.deps;
    const report = board.report.get();
    this.heartbeatSentAtMs = this.deps.clock.now();
    this.connection().send({
      type: MessageType.HEARTBEAT,
      sequence: this.sequence++,
      phase: board.phase.get(),
      leaving: board.draining.get(),
      running: this.deps.countRunning(),
      waiting: report.waiting,
      capacity: report.capacity,
      targetInstance: report.instance,
      cachedPrefixes: [...report.cachedPrefixes],
      configVersion: board.configVersion.get(),
    });
  }
}

function failureRefusal(): Refusal {
  const detail = 'the agent failed while it handled the request';
  const reason = RefusalReason.OUTCOME_UNKNOWN;
  return {reason, ran: Executed.UNKNOWN, detail};
}

function noEngineRefusal(): Refusal {
  const detail = 'no engine runs beside this agent';
  return {reason: RefusalReason.NO_TARGET, ran: Executed.NO, detail};
}

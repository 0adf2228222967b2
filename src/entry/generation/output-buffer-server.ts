/** Streams this entry's buffered outputs to entries that request them. */
import type {Clock, TimerHandle} from '../../core/clock/index.js';
import {Executed, RefusalReason} from '../../core/errors/index.js';
import {LogState} from '../../core/generation/index.js';
import type {
  AttachMessage,
  MessageRouter,
  PeerConnection,
} from '../../core/protocol/index.js';
import {createRefusedMessage, MessageType} from '../../core/protocol/index.js';
import type {Supervisor} from '../../core/supervision/index.js';
import {TaskName} from '../../core/supervision/index.js';
import type {OutputBuffer} from './output-buffer.js';
import {OUTPUT_KEEPALIVE_MS, MAX_TOKENS_PER_MESSAGE} from './consts.js';

/** Finds the buffered output of a request. */
export type OutputBufferLookup = (
  requestId: string,
) => OutputBuffer | undefined;

/** Handles ATTACH messages of other entries. */
export class OutputBufferServer {
  private readonly senders = new Map<PeerConnection, Set<OutputBufferSender>>();

  constructor(
    private readonly options: {
      clock: Clock;
      supervisor: Supervisor;
      findBuffer: OutputBufferLookup;
    },
  ) {}

  /** Subscribes to the messages of peers. */
  register(router: MessageRouter): void {
    router.on(MessageType.ATTACH, (message, connection) =>
      this.handleAttach(message, connection),
    );
    router.onClose((connection) => this.handleClose(connection));
  }

  private handleAttach(
    attach: AttachMessage,
    connection: PeerConnection,
  ): void {
    const buffer = this.options.findBuffer(attach.requestId);
    const usable = buffer?.belongsTo(attach) === true && buffer.covers(attach);
    if (buffer === undefined || !usable) {
      const reason = RefusalReason.ANSWER_LOST;
      const detail = 'this answer is not known here';
      const refusal = {reason, ran: Executed.UNKNOWN, detail};
      connection.send(createRefusedMessage({id: attach.attemptId, refusal}));
      return;
    }
    const {clock, supervisor} = this.options;
    const {attemptId} = attach;
    const sender = new OutputBufferSender({
      buffer,
      connection,
      clock,
      supervisor,
      attemptId,
    });
    const connectionSenders = this.senders.get(connection) ?? new Set();
    connectionSenders.add(sender);
    this.senders.set(connection, connectionSenders);
  }

  private handleClose(connection: PeerConnection): void {
    this.senders.get(connection)?.forEach((sender) => sender.close());
    this.senders.delete(connection);
  }
}

/** Sends one buffer and its lineage to one entry, from the first token. */
class OutputBufferSender {
  private position = 0;
  /** Number of lineage steps that were sent. */
  private sentStepCount = 0;
  private isClosed = false;
  private readonly unsubscribe: () => void;
  private readonly timer: TimerHandle;
  private readonly releaseBuffer: () => void;

  constructor(
    private readonly options: {
      buffer: OutputBuffer;
      connection: PeerConnection;
      clock: Clock;
      supervisor: Supervisor;
      /** The attempt that the other entry requested. */
      attemptId: string;
    },
  ) {
    const {buffer, clock, supervisor} = options;
    const task = {
      name: TaskName.GENERATION,
      requestId: buffer.requestId,
      onFailure: () => this.fail(),
    };
    const flush = supervisor.guard(task, () => this.flush());
    this.releaseBuffer = buffer.retain();
    this.unsubscribe = buffer.log.subscribe(flush);
    this.timer = clock.repeat({
      periodMs: OUTPUT_KEEPALIVE_MS,
      run: supervisor.guard(task, () => this.sendKeepalive()),
    });
    flush();
  }

  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.timer.cancel();
    this.unsubscribe();
    this.releaseBuffer();
  }

  /** Tells the other entry that no more comes, so that it need not wait. */
  private fail(): void {
    if (this.isClosed) return;
    this.close();
    const {connection, attemptId: id} = this.options;
    const refusal = {
      reason: RefusalReason.ANSWER_LOST,
      ran: Executed.UNKNOWN,
      detail: 'the answer could not be sent',
    };
    connection.send(createRefusedMessage({id, refusal}));
  }

  private sendKeepalive(): void {
    this.flush();
    if (!this.isClosed) this.sendTokens(0);
  }

  private flush(): void {
    const {buffer, connection} = this.options;
    if (this.isClosed || connection.isClosed()) return this.close();
    for (;;) {
      if (connection.isCongested()) return;
      this.sendLineage();
      const end = Math.min(buffer.log.length, this.currentStepEnd());
      if (this.position >= end) break;
      this.sendTokens(end - this.position);
    }
    if (buffer.log.state !== LogState.RUNNING) this.sendEnd();
  }

  /** Position before which all tokens belong to the lineage step sent last. */
  private currentStepEnd(): number {
    const next = this.options.buffer.lineageSteps()[this.sentStepCount];
    return next?.beginPosition ?? Number.POSITIVE_INFINITY;
  }

  private sendLineage(): void {
    const {buffer, connection, attemptId} = this.options;
    for (const step of buffer.lineageSteps().slice(this.sentStepCount)) {
      if (step.beginPosition > this.position) return;
      this.sentStepCount++;
      const {location, beginPosition: position} = step;
      const {attemptId: writerId, agentVm, agentIncarnation} = location;
      const type = MessageType.LINEAGE;
      const fields = {writerId, agentVm, agentIncarnation, position};
      connection.send({type, attemptId, ...fields});
    }
  }

  private sendTokens(count: number): void {
    const {buffer, connection, attemptId} = this.options;
    const {position} = this;
    const limit = Math.min(count, MAX_TOKENS_PER_MESSAGE);
    const tokens = buffer.log.slice({from: position, limit});
    connection.send({
      type: MessageType.TOKENS,
      attemptId,
      position,
      ids: tokens.map((token) => token.id),
      texts: tokens.map((token) => token.text),
    });
    this.position += tokens.length;
  }

  private sendEnd(): void {
    const {buffer, connection, attemptId} = this.options;
    const {length, finishReason} = buffer.log;
    if (finishReason !== undefined) {
      const type = MessageType.END;
      connection.send({type, attemptId, length, finishReason});
    } else {
      const refusal = buffer.refusal ?? {
        reason: RefusalReason.ANSWER_LOST,
        ran: Executed.UNKNOWN,
        detail: 'the answer was abandoned',
      };
      connection.send(createRefusedMessage({id: attemptId, refusal}));
    }
    this.close();
  }
}

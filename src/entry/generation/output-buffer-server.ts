/** Sends this entry's copies to entries that ask for them. */
import type {Clock, TimerHandle} from '../../core/clock/index.js';
import {Executed, RefusalReason} from '../../core/errors/index.js';
import {LogState} from '../../core/generation/index.js';
import type {
  AttachMessage,
  MessageRouter,
  PeerConnection,
} from '../../core/protocol/index.js';
import {createRefusedMessage, MessageType} from '../../core/protocol/index.js';
import type {OutputBuffer} from './output-buffer.js';
import {OUTPUT_KEEPALIVE_MS, MAX_TOKENS_PER_MESSAGE} from './consts.js';

/** Finds the copy of a request's answer. */
export type OutputBufferLookup = (
  requestId: string,
) => OutputBuffer | undefined;

/** Answers ATTACH of other entries. */
export class OutputBufferServer {
  private readonly senders = new Map<PeerConnection, Set<CopySender>>();

  constructor(
    private readonly options: {clock: Clock; findCopy: OutputBufferLookup},
  ) {}

  /** Takes part in what peers say to this entry. */
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
    const copy = this.options.findCopy(attach.requestId);
    const usable = copy?.belongsTo(attach) === true && copy.covers(attach);
    if (copy === undefined || !usable) {
      const reason = RefusalReason.ANSWER_LOST;
      const detail = 'this answer is not known here';
      const refusal = {reason, ran: Executed.UNKNOWN, detail};
      connection.send(createRefusedMessage({id: attach.attemptId, refusal}));
      return;
    }
    const {clock} = this.options;
    const {attemptId} = attach;
    const sender = new CopySender({copy, connection, clock, attemptId});
    const known = this.senders.get(connection) ?? new Set();
    known.add(sender);
    this.senders.set(connection, known);
  }

  private handleClose(connection: PeerConnection): void {
    this.senders.get(connection)?.forEach((sender) => sender.close());
    this.senders.delete(connection);
  }
}

/** A cursor into a copy and its lineage. */
class CopySender {
  private position = 0;
  private steps = 0;
  private closed = false;
  private readonly unsubscribe: () => void;
  private readonly timer: TimerHandle;
  private readonly unhold: () => void;

  constructor(
    private readonly options: {
      copy: OutputBuffer;
      connection: PeerConnection;
      clock: Clock;
      /** The attempt that the other entry asked for. */
      attemptId: string;
    },
  ) {
    const {copy, clock} = options;
    this.unhold = copy.retain();
    this.unsubscribe = copy.log.subscribe(() => this.flush());
    this.timer = clock.repeat({
      periodMs: OUTPUT_KEEPALIVE_MS,
      run: () => this.beat(),
    });
    this.flush();
  }

  close(): void {
    if (this.closed) return;
    this.closed = true;
    this.timer.cancel();
    this.unsubscribe();
    this.unhold();
  }

  private beat(): void {
    this.flush();
    if (!this.closed) this.sendTokens(0);
  }

  private flush(): void {
    const {copy, connection} = this.options;
    if (this.closed || connection.isClosed()) return this.close();
    for (;;) {
      if (connection.isCongested()) return;
      this.sendLineage();
      const end = Math.min(copy.log.length, this.stepEnd());
      if (this.position >= end) break;
      this.sendTokens(end - this.position);
    }
    if (copy.log.state !== LogState.RUNNING) this.sendLast();
  }

  /** Position up to which the tokens are of the step sent last. */
  private stepEnd(): number {
    const next = this.options.copy.lineageSteps()[this.steps];
    return next?.beginPosition ?? Number.POSITIVE_INFINITY;
  }

  private sendLineage(): void {
    const {copy, connection, attemptId} = this.options;
    for (const step of copy.lineageSteps().slice(this.steps)) {
      if (step.beginPosition > this.position) return;
      this.steps++;
      const {location: place, beginPosition: position} = step;
      const {attemptId: writerId, agentVm, agentIncarnation} = place;
      const type = MessageType.LINEAGE;
      const fields = {writerId, agentVm, agentIncarnation, position};
      connection.send({type, attemptId, ...fields});
    }
  }

  private sendTokens(count: number): void {
    const {copy, connection, attemptId} = this.options;
    const {position} = this;
    const limit = Math.min(count, MAX_TOKENS_PER_MESSAGE);
    const tokens = copy.log.slice({from: position, limit});
    connection.send({
      type: MessageType.TOKENS,
      attemptId,
      position,
      ids: tokens.map((token) => token.id),
      texts: tokens.map((token) => token.text),
    });
    this.position += tokens.length;
  }

  private sendLast(): void {
    const {copy, connection, attemptId} = this.options;
    const {length, finishReason} = copy.log;
    if (finishReason !== undefined) {
      const type = MessageType.END;
      connection.send({type, attemptId, length, finishReason});
    } else {
      const refusal = copy.refusal ?? {
        reason: RefusalReason.ANSWER_LOST,
        ran: Executed.UNKNOWN,
        detail: 'the answer was abandoned',
      };
      connection.send(createRefusedMessage({id: attemptId, refusal}));
    }
    this.close();
  }
}

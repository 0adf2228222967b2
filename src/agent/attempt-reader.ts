/** Sends the journal of one attempt to one entry, starting at a position. */
import {DriverErrorKind} from '../core/edges/index.js';
import {RetryReason} from '../core/errors/index.js';
import {LogState} from '../core/generation/index.js';
import type {Message, PeerConnection} from '../core/protocol/index.js';
import {MessageType} from '../core/protocol/index.js';
import type {Supervisor} from '../core/supervision/index.js';
import {TaskName} from '../core/supervision/index.js';
import type {Attempt} from './attempt.js';
import {TOKENS_PER_MESSAGE} from './consts.js';

/** A cursor into a journal; pauses while the connection is congested. */
export class AttemptReader {
  private readonly unsubscribe: () => void;
  private isFlushScheduled = false;
  private isClosed = false;

  constructor(
    private readonly options: {
      attempt: Attempt;
      connection: PeerConnection;
      supervisor: Supervisor;
      onDone: () => void;
    },
    private position: number,
  ) {
    const {attempt} = options;
    attempt.addReader();
    this.unsubscribe = attempt.journal.subscribe(() => this.schedule());
    this.schedule();
  }

  /** Sends new tokens until the connection is congested. */
  flush(): void {
    this.isFlushScheduled = false;
    const {supervisor, attempt} = this.options;
    const {requestId} = attempt.request;
    const onFailure = () => this.fail();
    const task = {name: TaskName.GENERATION, requestId, onFailure};
    supervisor.run(task, () => this.sendNew());
  }

  /** Ends the reader, and tells the entry so that it need not wait. */
  private fail(): void {
    if (this.isClosed) return;
    this.close();
    this.options.connection.send({
      type: MessageType.FAILED,
      attemptId: this.options.attempt.request.attemptId,
      reason: RetryReason.ENGINE_DIED,
      detail: 'the agent failed while it sent the output',
      crashId: undefined,
      isCulprit: undefined,
    });
  }

  private sendNew(): void {
    if (this.isClosed) return;
    const {attempt, connection} = this.options;
    while (this.position < attempt.journal.length) {
      if (connection.isCongested()) return;
      this.sendTokens();
    }
    if (attempt.journal.state === LogState.RUNNING) return;
    connection.send(this.createLastMessage());
    this.close();
  }

  /** Stops sending; the attempt continues. */
  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.unsubscribe();
    this.options.attempt.removeReader();
    this.options.onDone();
  }

  private schedule(): void {
    if (this.isFlushScheduled) return;
    this.isFlushScheduled = true;
    setImmediate(() => this.flush());
  }

  private sendTokens(): void {
    const {attempt, connection} = this.options;
    const tokens = attempt.journal.slice({
      from: this.position,
      limit: TOKENS_PER_MESSAGE,
    });
    connection.send({
      type: MessageType.TOKENS,
      attemptId: attempt.request.attemptId,
      position: this.position,
      ids: tokens.map((token) => token.id),
      texts: tokens.map((token) => token.text),
    });
    this.position += tokens.length;
  }

  /** Creates the message for the end or the failure of the attempt. */
  private createLastMessage(): Message {
    const {attempt} = this.options;
    const attemptId = attempt.request.attemptId;
    const {finishReason, length} = attempt.journal;
    if (finishReason !== undefined) {
      return {type: MessageType.END, attemptId, length, finishReason};
    }
    const {failure} = attempt;
    const reason =
      failure?.kind === DriverErrorKind.TIMEOUT
        ? RetryReason.ENGINE_STALLED
        : RetryReason.ENGINE_DIED;
    const detail = failure?.detail ?? 'cancelled';
    const {id: crashId, isCause: isCulprit} = attempt.engineCrash ?? {};
    const type = MessageType.FAILED;
    return {type, attemptId, reason, detail, crashId, isCulprit};
  }
}

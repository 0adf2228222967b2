/** Runs calls to the plain service beside this agent. */
import type {
  DriverError,
  PlainResponse,
  ServiceDriver,
} from '../core/edges/index.js';
import {DriverErrorKind} from '../core/edges/index.js';
import type {Refusal} from '../core/errors/index.js';
import {Ran, RefusalReason} from '../core/errors/index.js';
import type {
  AskKeyMessage,
  CallMessage,
  Message,
} from '../core/protocol/index.js';
import {
  createRefused,
  KeyPhase,
  MessageType,
  TargetPhase,
} from '../core/protocol/index.js';
import type {AgentBoard} from './agent-board.js';
import type {KeyRecord, KeyTable} from './key-table.js';

/** Sends an answer to the entry that asked. */
export type Respond = (message: Message) => void;

/** Admits calls, runs them and answers repeats with the first outcome. */
export class CallRunner {
  private running = 0;

  constructor(
    private readonly options: {
      board: AgentBoard;
      driver: ServiceDriver;
      incarnation: string;
      keys: KeyTable;
    },
  ) {}

  countRunning(): number {
    return this.running;
  }

  handleCall(call: CallMessage, respond: Respond): void {
    if (call.key === '') {
      this.runIdempotent(call, respond);
      return;
    }
    const record = this.options.keys.find(call);
    if (record !== undefined) {
      this.answerRepeat({call, record, respond});
      return;
    }
    const refusal = this.checkAdmission(call);
    if (refusal !== undefined) {
      respond(refused(call.callId, refusal));
      return;
    }
    this.runOnce(call, respond);
  }

  handleAskKey(ask: AskKeyMessage, respond: Respond): void {
    const {keys} = this.options;
    let record = keys.find(ask);
    if (record === undefined && ask.promiseNever) {
      record = keys.admit(ask);
      record.markNever();
    }
    if (record?.phase === KeyPhase.DONE) {
      this.answerRecord({callId: ask.callId, record, respond});
      return;
    }
    respond({
      type: MessageType.KEY_STATE,
      callId: ask.callId,
      phase: record?.phase ?? KeyPhase.UNSEEN,
      incarnation: this.options.incarnation,
    });
  }

  private checkAdmission(call: CallMessage): Refusal | undefined {
    const {board, incarnation, keys} = this.options;
    if (call.incarnation !== incarnation) {
      const detail = 'the claim names another incarnation';
      return refuse(RefusalReason.NO_TARGET, Ran.NO, detail);
    }
    if (board.leaving.get()) {
      return refuse(RefusalReason.LEAVING, Ran.NO, 'this target is leaving');
    }
    if (board.phase.get() === TargetPhase.DOWN) {
      return refuse(RefusalReason.NO_TARGET, Ran.NO, 'the service is down');
    }
    if (keys.isFull()) {
      return refuse(RefusalReason.OVERLOADED, Ran.NO, 'too many keys');
    }
    return undefined;
  }

  private runIdempotent(call: CallMessage, respond: Respond): void {
    if (this.options.board.leaving.get()) {
      const detail = 'this target is leaving';
      const refusal = refuse(RefusalReason.LEAVING, Ran.NO, detail);
      respond(refused(call.callId, refusal));
      return;
    }
    this.send({
      call,
      onResponse: (res) => respond(reply(call.callId, res)),
      onError: (err) => respond(refused(call.callId, refusalOf(err))),
    });
  }

  private runOnce(call: CallMessage, respond: Respond): void {
    const record = this.options.keys.admit(call);
    record.whenSettled(() =>
      this.answerRecord({callId: call.callId, record, respond}),
    );
    this.send({
      call,
      onResponse: (res) => record.complete(res),
      onError: (err) => settleFailed(record, err),
    });
  }

  private send(options: {
    call: CallMessage;
    onResponse: (res: PlainResponse) => void;
    onError: (err: DriverError) => void;
  }): void {
    const {call, onResponse, onError} = options;
    const {method, path, headers, body, deadlineMs} = call;
    this.running++;
    const req = {method, path, headers, body};
    void this.options.driver
      .call({req, timeoutMs: deadlineMs})
      .match(onResponse, onError)
      .then(() => {
        this.running--;
      });
  }

  private answerRepeat(options: {
    call: CallMessage;
    record: KeyRecord;
    respond: Respond;
  }): void {
    const {call, record, respond} = options;
    if (record.fingerprint !== call.fingerprint) {
      const detail = 'this key came with another body before';
      const refusal = refuse(RefusalReason.KEY_REUSED, Ran.NO, detail);
      respond(refused(call.callId, refusal));
      return;
    }
    record.whenSettled(() =>
      this.answerRecord({callId: call.callId, record, respond}),
    );
  }

  private answerRecord(options: {
    callId: string;
    record: KeyRecord;
    respond: Respond;
  }): void {
    const {callId, record, respond} = options;
    if (record.outcome !== undefined) {
      respond(reply(callId, record.outcome));
      return;
    }
    if (record.phase === KeyPhase.PROMISED_NEVER) {
      const detail = 'the call did not run and never will under this key';
      respond(
        refused(callId, refuse(RefusalReason.CLAIM_VOIDED, Ran.NO, detail)),
      );
      return;
    }
    const detail = 'the target gave no whole answer';
    const reason = RefusalReason.OUTCOME_UNKNOWN;
    respond(refused(callId, refuse(reason, Ran.UNKNOWN, detail)));
  }
}

function settleFailed(record: KeyRecord, err: DriverError): void {
  if (err.kind === DriverErrorKind.NOT_SENT) {
    record.markNever();
    return;
  }
  record.markUncertain();
}

function refusalOf(err: DriverError): Refusal {
  if (err.kind === DriverErrorKind.TOO_LARGE) {
    return refuse(RefusalReason.RESPONSE_TOO_LARGE, Ran.YES, err.detail);
  }
  const sent = err.kind !== DriverErrorKind.NOT_SENT;
  const ran = sent ? Ran.UNKNOWN : Ran.NO;
  return refuse(RefusalReason.TARGET_FAILED, ran, err.detail);
}

function refuse(reason: RefusalReason, ran: Ran, detail: string): Refusal {
  return {reason, ran, detail};
}

function refused(id: string, refusal: Refusal): Message {
  return createRefused({id, refusal});
}

function reply(callId: string, res: PlainResponse): Message {
  return {
    type: MessageType.REPLY,
    callId,
    status: res.status,
    headers: [...res.headers],
    body: res.body,
  };
}

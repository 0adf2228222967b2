/** Runs calls to the plain service on the same VM as this agent. */
import {decideKeyQuery, decideCall, KeyAction} from '../core/booking/index.js';
import type {Clock} from '../core/clock/index.js';
import type {
  DriverError,
  PlainResponse,
  ServiceDriver,
} from '../core/edges/index.js';
import {DriverErrorKind} from '../core/edges/index.js';
import type {Refusal} from '../core/errors/index.js';
import {Executed, Layer, RefusalReason} from '../core/errors/index.js';
import type {
  AskKeyMessage,
  CallMessage,
  Message,
} from '../core/protocol/index.js';
import {
  createRefusedMessage,
  KeyPhase,
  MessageType,
  TargetPhase,
} from '../core/protocol/index.js';
import type {Supervisor} from '../core/supervision/index.js';
import {TaskName} from '../core/supervision/index.js';
import type {AgentBoard} from './agent-board.js';
import type {KeyRecord, KeyTable} from './key-table.js';
import type {OutcomeRecorder} from './outcome-recorder.js';
import type {TargetLimit} from './target-limit.js';

/** Sends a response to the entry that sent the request. */
export type Respond = (message: Message) => void;

/** Admits and runs calls; responds to retries with the first outcome. */
export class CallRunner {
  private running = 0;

  constructor(
    private readonly options: {
      board: AgentBoard;
      clock: Clock;
      driver: ServiceDriver;
      incarnation: string;
      keys: KeyTable;
      limit: TargetLimit;
      supervisor: Supervisor;
      /**
       * Stores first outcomes in the platform, so that they outlive this
       * process.
       */
      recorder: OutcomeRecorder;
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
    const {board, incarnation, keys} = this.options;
    const known = keys.find(call);
    const action = decideCall({
      known,
      fingerprint: call.fingerprint,
      incarnation: call.incarnation,
      ownIncarnation: incarnation,
      takesWork:
        !board.draining.get() && board.phase.get() !== TargetPhase.DOWN,
      isFull: keys.isFull(),
    });
    this.performAction({action, call, known, respond});
  }

  handleKeyQuery(query: AskKeyMessage, respond: Respond): void {
    const {keys} = this.options;
    const known = keys.find(query);
    const {promiseNever} = query;
    const action = decideKeyQuery({known, promiseNever, isFull: keys.isFull()});
    switch (action) {
      case KeyAction.RETURN_FIRST_OUTCOME:
        this.respondWhenSettled(query, known!, respond);
        return;
      case KeyAction.PROMISE_NEVER:
        keys.admit(query).markPromisedNever();
        respond(this.createKeyState(query, KeyPhase.PROMISED_NEVER));
        return;
      default:
        respond(this.createKeyState(query, known?.phase ?? KeyPhase.UNSEEN));
    }
  }

  private performAction(options: {
    action: KeyAction;
    call: CallMessage;
    known: KeyRecord | undefined;
    respond: Respond;
  }): void {
    const {action, call, known, respond} = options;
    const {callId} = call;
    switch (action) {
      case KeyAction.ADMIT:
        if (this.isWithinLimit(call, respond)) this.runOnce(call, respond);
        return;
      case KeyAction.RETURN_FIRST_OUTCOME:
        this.respondOnceSettled({callId, record: known!, respond});
        return;
      case KeyAction.PROMISE_NEVER: {
        const record = this.options.keys.admit(call);
        record.markPromisedNever();
        this.respondFromRecord({callId, record, respond});
        return;
      }
      default:
        respond(
          createRefused(callId, REFUSALS[action] ?? otherIncarnationRefusal()),
        );
    }
  }

  /** Responds when the call ends or the wait given in the query is over. */
  private respondWhenSettled(
    query: AskKeyMessage,
    record: KeyRecord,
    respond: Respond,
  ): void {
    let hasResponded = false;
    const sendResponse = (): void => {
      if (hasResponded) return;
      hasResponded = true;
      timer.cancel();
      if (record.phase === KeyPhase.DONE) {
        this.respondFromRecord({callId: query.callId, record, respond});
        return;
      }
      respond(this.createKeyState(query, record.phase));
    };
    const {clock, supervisor} = this.options;
    const guarded = supervisor.guard({name: TaskName.CALL}, sendResponse);
    const timer = clock.schedule({delayMs: query.waitMs, run: guarded});
    record.whenSettled(guarded);
  }

  private createKeyState(query: AskKeyMessage, phase: KeyPhase): Message {
    const {incarnation} = this.options;
    const {callId} = query;
    return {type: MessageType.KEY_STATE, callId, phase, incarnation};
  }

  private runIdempotent(call: CallMessage, respond: Respond): void {
    if (this.options.board.draining.get()) {
      const detail = 'this target is leaving';
      const refusal = createRefusal(RefusalReason.LEAVING, Executed.NO, detail);
      respond(createRefused(call.callId, refusal));
      return;
    }
    if (!this.isWithinLimit(call, respond)) return;
    this.send({
      call,
      onResponse: (res) => respond(createReply(call.callId, res)),
      onError: (err) => respond(createRefused(call.callId, toRefusal(err))),
    });
  }

  /** Takes a permit of the target's limit; refuses the call if there is none. */
  private isWithinLimit(call: CallMessage, respond: Respond): boolean {
    const refusal = this.options.limit.take(call.clientAccount);
    if (refusal === undefined) return true;
    respond(createRefused(call.callId, refusal));
    return false;
  }

  private runOnce(call: CallMessage, respond: Respond): void {
    const record = this.options.keys.admit(call);
    this.respondOnceSettled({callId: call.callId, record, respond});
    this.send({
      call,
      onResponse: (res) => {
        record.complete(res);
        this.options.recorder.add({call, response: res});
      },
      onError: (err) => settleAfterError(record, err),
    });
  }

  /** Responds once; a response that cannot be sent is replaced by a refusal. */
  private respondOnceSettled(options: {
    callId: string;
    record: KeyRecord;
    respond: Respond;
  }): void {
    const {callId, record, respond} = options;
    const {supervisor} = this.options;
    const onFailure = () => respond(createUnknownOutcome(callId));
    record.whenSettled(
      supervisor.guard({name: TaskName.CALL, onFailure}, () =>
        this.respondFromRecord({callId, record, respond}),
      ),
    );
  }

  private send(options: {
    call: CallMessage;
    onResponse: (res: PlainResponse) => void;
    onError: (err: DriverError) => void;
  }): void {
    const {call, onResponse, onError} = options;
    const {method, path, headers, body, deadlineMs} = call;
    const req = {method, path, headers, body};
    const {driver, supervisor} = this.options;
    // It may have reached the target, so the call is never sent again.
    const onFailure = () => onError(createAgentError());
    supervisor.run({name: TaskName.CALL, onFailure}, async () => {
      this.running++;
      try {
        const result = await driver.call({req, timeoutMs: deadlineMs});
        result.match(onResponse, onError);
      } finally {
        this.running--;
      }
    });
  }

  private respondFromRecord(options: {
    callId: string;
    record: KeyRecord;
    respond: Respond;
  }): void {
    const {callId, record, respond} = options;
    if (record.outcome !== undefined) {
      respond(createReply(callId, record.outcome));
      return;
    }
    if (record.phase === KeyPhase.PROMISED_NEVER) {
      const detail = 'the call did not run and never will under this key';
      respond(
        createRefused(
          callId,
          createRefusal(RefusalReason.CLAIM_VOIDED, Executed.NO, detail),
        ),
      );
      return;
    }
    respond(createUnknownOutcome(callId));
  }
}

function createUnknownOutcome(callId: string): Message {
  const detail = 'the target gave no whole answer';
  const reason = RefusalReason.OUTCOME_UNKNOWN;
  return createRefused(callId, createRefusal(reason, Executed.UNKNOWN, detail));
}

function createAgentError(): DriverError {
  const detail = 'the agent failed while it handled the call';
  return {layer: Layer.DRIVER, kind: DriverErrorKind.LOST, detail};
}

function settleAfterError(record: KeyRecord, err: DriverError): void {
  if (err.kind === DriverErrorKind.NOT_SENT) {
    record.markPromisedNever();
    return;
  }
  record.markUncertain();
}

const REFUSALS: Readonly<Partial<Record<KeyAction, Refusal>>> = {
  [KeyAction.REFUSE_OTHER_BODY]: {
    reason: RefusalReason.KEY_REUSED,
    ran: Executed.NO,
    detail: 'this key came with another body before',
  },
  [KeyAction.REFUSE_FULL]: {
    reason: RefusalReason.OVERLOADED,
    ran: Executed.NO,
    detail: 'this agent remembers as many keys as it can',
  },
};

function otherIncarnationRefusal(): Refusal {
  const detail = 'the claim names another incarnation';
  return createRefusal(RefusalReason.NO_TARGET, Executed.NO, detail);
}

function toRefusal(err: DriverError): Refusal {
  if (err.kind === DriverErrorKind.TOO_LARGE) {
    return createRefusal(
      RefusalReason.RESPONSE_TOO_LARGE,
      Executed.YES,
      err.detail,
    );
  }
  const sent = err.kind !== DriverErrorKind.NOT_SENT;
  const ran = sent ? Executed.UNKNOWN : Executed.NO;
  return createRefusal(RefusalReason.TARGET_FAILED, ran, err.detail);
}

function createRefusal(
  reason: RefusalReason,
  ran: Executed,
  detail: string,
): Refusal {
  return {reason, ran, detail};
}

function createRefused(id: string, refusal: Refusal): Message {
  return createRefusedMessage({id, refusal});
}

function createReply(callId: string, res: PlainResponse): Message {
  return {
    type: MessageType.REPLY,
    callId,
    status: res.status,
    headers: [...res.headers],
    body: res.body,
  };
}

/** One request to one agent, and its response. */
import {err, ok, ResultAsync} from 'neverthrow';
import type {Result} from 'neverthrow';

import type {Clock} from '../../core/clock/index.js';
import type {PlainResponse} from '../../core/edges/index.js';
import type {Refusal} from '../../core/errors/index.js';
import type {
  AskKeyMessage,
  CallMessage,
  KeyPhase,
} from '../../core/protocol/index.js';
import type {Supervisor} from '../../core/supervision/index.js';
import {TaskName} from '../../core/supervision/index.js';
import type {AgentLink} from '../links/agent-link.js';

/** Why a request got no response. */
export enum CallErrorKind {
  /** Nothing was sent. */
  NOT_SENT = 'not_sent',
  /** The agent refused; `refusal.ran` states whether the call ran. */
  REFUSED = 'refused',
  /** Sent; the connection was lost before a response. */
  LOST = 'lost',
  /** Sent; no response in time. */
  TIMEOUT = 'timeout',
}

/** An error of a call to an agent. */
export interface CallError {
  readonly kind: CallErrorKind;
  /** Defined if the kind is REFUSED. */
  readonly refusal?: Refusal;
}

/** An agent's response: the target's response, or the state of a key. */
export interface AgentCallResult {
  readonly response?: PlainResponse;
  readonly keyPhase?: KeyPhase;
  /** Incarnation that reported the state of the key. */
  readonly incarnation?: string;
}

/**
 * Sends a call or a key query to an agent and waits for the response.
 *
 * @example
 * callAgent({link, message: call, timeoutMs: 500, clock}).map(use);
 */
export function callAgent(options: {
  link: AgentLink;
  message: CallMessage | AskKeyMessage;
  timeoutMs: number;
  clock: Clock;
  supervisor: Supervisor;
}): ResultAsync<AgentCallResult, CallError> {
  return new ResultAsync(
    new Promise((resolve) => {
      const onFailure = () => resolve(err({kind: CallErrorKind.LOST}));
      // A call whose sending failed may have been sent.
      options.supervisor.run({name: TaskName.CALL, onFailure}, () =>
        sendAndWait(options, resolve),
      );
    }),
  );
}

function sendAndWait(
  options: Parameters<typeof callAgent>[0],
  resolve: (result: Result<AgentCallResult, CallError>) => void,
): void {
  const {link, message, timeoutMs, clock, supervisor} = options;
  const id = message.callId;
  const settle = (result: Result<AgentCallResult, CallError>): void => {
    timer.cancel();
    resolve(result);
  };
  const timer = clock.schedule({
    delayMs: timeoutMs,
    run: supervisor.guard({name: TaskName.CALL}, () => {
      settle(err({kind: CallErrorKind.TIMEOUT}));
      link.release(id);
    }),
  });
  const handler = {
    onReply: (response: PlainResponse) => settle(ok({response})),
    onKeyState: (state: {phase: KeyPhase; incarnation: string}) =>
      settle(ok({keyPhase: state.phase, incarnation: state.incarnation})),
    onRefused: (refusal: Refusal) =>
      settle(err({kind: CallErrorKind.REFUSED, refusal})),
    onLost: () => settle(err({kind: CallErrorKind.LOST})),
  };
  if (!link.open({id, message, handler})) {
    settle(err({kind: CallErrorKind.NOT_SENT}));
  }
}

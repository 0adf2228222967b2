/** The messages of an attempt. */
import type {Token} from '../../core/edges/index.js';
import type {
  AttachMessage,
  StartMessage,
  TokensMessage,
} from '../../core/protocol/index.js';
import {MessageType} from '../../core/protocol/index.js';
import type {OpenAttempt, GenerationTask} from './run-types.js';

/** Creates the order to run an attempt. */
export function createStart(
  order: GenerationTask,
  options: {
    attemptId: string;
    resumeFrom: readonly Token[];
    deadlineMs: number;
    crashes: readonly string[];
    mayShare: boolean;
  },
): StartMessage {
  const {requestId, clientAccount, fingerprint, spec} = order;
  return {
    type: MessageType.START,
    requestId,
    clientAccount,
    fingerprint,
    spec: {...spec, stop: [...spec.stop]},
    ...options,
    resumeFrom: [...options.resumeFrom],
    crashes: [...options.crashes],
  };
}

/** Creates the request for an attempt's whole journal. */
export function createAttach(
  order: GenerationTask,
  options: {attemptId: string; position: number},
): AttachMessage {
  const {requestId, clientAccount, fingerprint} = order;
  return {
    type: MessageType.ATTACH,
    requestId,
    clientAccount,
    fingerprint,
    ...options,
  };
}

/** Reads the tokens of a message, which come in columns. */
export function readTokens({ids, texts}: TokensMessage): Token[] {
  return ids.map((id, i) => ({id, text: texts[i] ?? ''}));
}

/** Hears no more of an attempt, and has it stopped. */
export function cancelAttempt({link, location: place}: OpenAttempt): void {
  const {attemptId} = place;
  link.release(attemptId);
  link.send({type: MessageType.CANCEL, attemptId});
}

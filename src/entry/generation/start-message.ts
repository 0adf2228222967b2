/** The messages that open an attempt. */
import type {Token} from '../../core/edges/index.js';
import type {AttachMessage, StartMessage} from '../../core/protocol/index.js';
import {MessageType} from '../../core/protocol/index.js';
import type {RunOrder} from './run-types.js';

/** Creates the order to run an attempt. */
export function createStart(
  order: RunOrder,
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
  order: RunOrder,
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

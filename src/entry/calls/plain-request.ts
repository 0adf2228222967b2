/** Plain requests, and the messages that send them to agents. */
import type {
  ClientAccountConfig,
  ServiceConfig,
} from '../../core/config/types.js';
import type {PlainReq} from '../../core/edges/index.js';
import type {CallMessage} from '../../core/protocol/index.js';
import {MessageType} from '../../core/protocol/index.js';

/** A plain request with its client account and service. */
export interface ResolvedPlain {
  readonly req: PlainReq;
  readonly clientAccount: ClientAccountConfig;
  readonly service: ServiceConfig;
  /** Fingerprint of the client account and the content of the request. */
  readonly fingerprint: string;
  /** On the monotonic clock of this process. */
  readonly deadlineAtMs: number;
}

/** Creates the message that asks an agent to run a call. */
export function createCall(options: {
  request: ResolvedPlain;
  callId: string;
  key: string;
  incarnation: string;
  deadlineMs: number;
}): CallMessage {
  const {request, callId, key, incarnation, deadlineMs} = options;
  const {req, clientAccount, fingerprint} = request;
  return {
    type: MessageType.CALL,
    callId,
    clientAccount: clientAccount.name,
    key,
    fingerprint,
    incarnation,
    method: req.method,
    path: req.path,
    headers: [...req.headers],
    body: req.body,
    deadlineMs,
    claimedAtMs: 0,
  };
}

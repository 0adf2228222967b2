/** Messages that start, attach to and cancel attempts. */
import type {Token} from '../../core/edges/index.js';
import type {
  AttachMessage,
  StartMessage,
  TokensMessage,
} from '../../core/protocol/index.js';
import {MessageType} from '../../core/protocol/index.js';
import type {TargetView} from '../../core/routing/index.js';
import type {GenerationDeps, GenerationTask, OpenAttempt} from './run-types.js';

/** Creates an attempt at a target; undefined if it has no link. */
export function createAttempt(
  target: TargetView,
  deps: Pick<GenerationDeps, 'links' | 'random'>,
): OpenAttempt | undefined {
  const link = deps.links.find(target.vm);
  if (link === undefined) return undefined;
  const attemptId = deps.random.id();
  const {vm: agentVm, incarnation: agentIncarnation} = target;
  return {link, location: {attemptId, agentVm, agentIncarnation}};
}

/** Creates the message that starts an attempt. */
export function createStart(
  task: GenerationTask,
  options: {
    attemptId: string;
    resumeFrom: readonly Token[];
    deadlineMs: number;
    crashes: readonly string[];
    mayShare: boolean;
  },
): StartMessage {
  const {requestId, clientAccount, fingerprint, spec} = task;
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

/** Creates the request to stream the tokens of an existing attempt. */
export function createAttach(
  task: GenerationTask,
  options: {attemptId: string; position: number},
): AttachMessage {
  const {requestId, clientAccount, fingerprint} = task;
  return {
    type: MessageType.ATTACH,
    requestId,
    clientAccount,
    fingerprint,
    ...options,
  };
}

/** Combines the token IDs and texts of a message into tokens. */
export function readTokens({ids, texts}: TokensMessage): Token[] {
  return ids.map((id, i) => ({id, text: texts[i] ?? ''}));
}

/** Cancels an attempt at its agent; its later messages are dropped. */
export function cancelAttempt({link, location}: OpenAttempt): void {
  const {attemptId} = location;
  link.release(attemptId);
  link.send({type: MessageType.CANCEL, attemptId});
}

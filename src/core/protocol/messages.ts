/**
 * Messages between the processes of the system. The connection decodes each
 * with its Codec; an unknown or malformed message closes the connection.
 */
import type {GetType} from 'purify-ts';
import {
  array,
  boolean,
  Codec,
  enumeration,
  exactly,
  number,
  optional,
  string,
  unknown,
} from 'purify-ts';

import {FinishReason} from '../edges/engine-driver.js';
import {Executed, RefusalReason, RetryReason} from '../errors/refusals.js';
import {byteString} from './byte-codec.js';
import {MessageType} from './message-type.js';
import type {AskPermitMessage, PermitMessage} from './permit-messages.js';
import {ASK_PERMIT, PERMIT} from './permit-messages.js';
import type {
  AliveMessage,
  ChangesMessage,
  WatchMessage,
} from './watch-messages.js';
import {ALIVE, CHANGES, WATCH} from './watch-messages.js';

/** Role that a process sends in HELLO. */
export enum PeerRole {
  ENTRY = 'entry',
  AGENT = 'agent',
}

/**
 * First message of each side; another protocol version closes the connection.
 */
export const HELLO = Codec.interface({
  type: exactly(MessageType.HELLO),
  protocol: number,
  role: enumeration(PeerRole),
  vm: string,
  /** Id of this incarnation of the process. */
  incarnation: string,
  dataCentre: string,
});

/** Health of an agent's target. */
export enum TargetPhase {
  /** The target responds to probes. */
  HEALTHY = 'healthy',
  /** The target does not respond to probes. */
  UNRESPONSIVE = 'unresponsive',
  /** The target's process has exited. */
  DOWN = 'down',
}

/** Agent to entry: periodic status report of the agent and its target. */
export const HEARTBEAT = Codec.interface({
  type: exactly(MessageType.HEARTBEAT),
  /** Number of heartbeats sent earlier on the same connection. */
  sequence: number,
  phase: enumeration(TargetPhase),
  /** Whether the target is draining. */
  leaving: boolean,
  /** Number of requests that the agent is running at its target. */
  running: number,
  /** Number of requests queued at the target, as the target reports it. */
  waiting: number,
  /** Number of requests that the target can run concurrently. */
  capacity: number,
  /** Id of the target's process; empty if it has none. */
  targetInstance: string,
  /** Fingerprints of prompt prefixes in the target's cache. */
  cachedPrefixes: array(string),
  /** Version of the active configuration; 0 for none. */
  configVersion: number,
});

/** A token with its text. */
export const TOKEN = Codec.interface({id: number, text: string});

/** Parameters of a generation. */
export const GENERATION_SPEC = Codec.interface({
  model: string,
  prompt: string,
  maxTokens: number,
  stop: array(string),
  temperature: number,
  priority: number,
});

/**
 * Entry to agent: run an attempt, resuming after the tokens in `resumeFrom`.
 */
export const START = Codec.interface({
  type: exactly(MessageType.START),
  requestId: string,
  attemptId: string,
  clientAccount: string,
  /** Fingerprint of the client account and the content. */
  fingerprint: string,
  spec: GENERATION_SPEC,
  /** The output so far: ids and texts, from position 0. */
  resumeFrom: array(TOKEN),
  /** Time remaining for the complete output, in milliseconds. */
  deadlineMs: number,
  /** Ids of engine crashes during which this request was running. */
  crashes: optional(array(string)),
  /**
   * Whether it may run at the same engine as another request that was running
   * during the same crash.
   */
  mayShare: optional(boolean),
});

/**
 * Entry to agent or entry: send an attempt's output, starting at a position.
 */
export const ATTACH = Codec.interface({
  type: exactly(MessageType.ATTACH),
  requestId: string,
  attemptId: string,
  clientAccount: string,
  fingerprint: string,
  position: number,
});

/**
 * Entry to entry: the attempt that produced the tokens starting at a position.
 */
export const LINEAGE = Codec.interface({
  type: exactly(MessageType.LINEAGE),
  /** The attempt given in ATTACH. */
  attemptId: string,
  /**
   * The attempt that produced, or was to produce, the tokens from `position`.
   */
  writerId: string,
  agentVm: string,
  agentIncarnation: string,
  position: number,
});

/** Entry to agent: stop sending this attempt's tokens. */
export const DETACH = Codec.interface({
  type: exactly(MessageType.DETACH),
  attemptId: string,
});

/** Entry to agent: stop this attempt. */
export const CANCEL = Codec.interface({
  type: exactly(MessageType.CANCEL),
  attemptId: string,
});

/**
 * Agent to entry: tokens of an attempt, as parallel arrays of ids and texts.
 */
export const TOKENS = Codec.interface({
  type: exactly(MessageType.TOKENS),
  attemptId: string,
  position: number,
  ids: array(number),
  texts: array(string),
});

/** Agent to entry: the output is complete; `length` is its number of tokens. */
export const END = Codec.interface({
  type: exactly(MessageType.END),
  attemptId: string,
  length: number,
  finishReason: enumeration(FinishReason),
});

/** Agent to entry: the attempt failed after it was admitted. */
export const FAILED = Codec.interface({
  type: exactly(MessageType.FAILED),
  attemptId: string,
  reason: enumeration(RetryReason),
  detail: string,
  /** Id of the engine crash; absent if the engine did not crash. */
  crashId: optional(string),
  /**
   * Whether only this request can have caused both this crash and an earlier
   * one.
   */
  isCulprit: optional(boolean),
});

/** Response to a START, ATTACH or CALL that was not admitted. */
export const REFUSED = Codec.interface({
  type: exactly(MessageType.REFUSED),
  /** The attempt or call that was refused. */
  id: string,
  reason: enumeration(RefusalReason),
  ran: enumeration(Executed),
  detail: string,
  retryAfterMs: optional(number),
});

/** A header field. */
export const HEADER_FIELD = Codec.interface({name: string, value: string});

/** Entry to agent: a call to the plain service. */
export const CALL = Codec.interface({
  type: exactly(MessageType.CALL),
  callId: string,
  clientAccount: string,
  /** Idempotency key; empty for an idempotent call. */
  key: string,
  /**
   * Fingerprint of the client account and the content; a retry under the same
   * key must have the same fingerprint.
   */
  fingerprint: string,
  /** Agent incarnation given in the claim; any other incarnation refuses. */
  incarnation: string,
  method: string,
  path: string,
  headers: array(HEADER_FIELD),
  body: byteString,
  /** Time remaining for the response, in milliseconds. */
  deadlineMs: number,
  /** When the key was claimed, in ms since the epoch; 0 without a key. */
  claimedAtMs: number,
});

/** Agent to entry: the response of the service. */
export const REPLY = Codec.interface({
  type: exactly(MessageType.REPLY),
  callId: string,
  status: number,
  headers: array(HEADER_FIELD),
  body: byteString,
});

/**
 * Entry to agent: query the state of an idempotency key. With `promiseNever`,
 * a key that was not admitted is refused from then on.
 */
export const ASK_KEY = Codec.interface({
  type: exactly(MessageType.ASK_KEY),
  callId: string,
  clientAccount: string,
  key: string,
  fingerprint: string,
  /** Whether the agent must never admit the key if it has not admitted it yet. */
  promiseNever: boolean,
  /** How long to wait for a running call to end, in milliseconds. */
  waitMs: number,
});

/** State of an idempotency key at an agent. */
export enum KeyPhase {
  /** The agent has no record of the key. */
  UNSEEN = 'unseen',
  /** The agent did not run the call and will never admit the key. */
  PROMISED_NEVER = 'promised_never',
  /** The call is running at the target. */
  RUNNING = 'running',
  /** The target has returned a complete response. */
  DONE = 'done',
  /** Sent to the target, which returned no complete response. */
  UNCERTAIN = 'uncertain',
}

/** Response to ASK_KEY; if the key is DONE, a REPLY is sent instead. */
export const KEY_STATE = Codec.interface({
  type: exactly(MessageType.KEY_STATE),
  callId: string,
  phase: enumeration(KeyPhase),
  /** Incarnation of the agent that responds. */
  incarnation: string,
});

/**
 * Entry to agent: the target is draining, and this entry starts no more work
 * there. Sent when the VM list or a heartbeat reports the target as leaving.
 */
export const LEAVE = Codec.interface({type: exactly(MessageType.LEAVE)});

/** Any process to any other: an accepted version of the configuration. */
export const CONFIG = Codec.interface({
  type: exactly(MessageType.CONFIG),
  version: number,
  /** The stored value; null if only the version is sent. */
  value: unknown,
  /** Time since the platform confirmed the version, in milliseconds. */
  ageMs: number,
});

/**
 * Any process to a peer from which it receives the configuration: the version
 * that is active in the sending process.
 */
export const CONFIG_REPORT = Codec.interface({
  type: exactly(MessageType.CONFIG_REPORT),
  vm: string,
  dataCentre: string,
  version: number,
});

export type HelloMessage = GetType<typeof HELLO>;
export type HeartbeatMessage = GetType<typeof HEARTBEAT>;
export type StartMessage = GetType<typeof START>;
export type AttachMessage = GetType<typeof ATTACH>;
export type LineageMessage = GetType<typeof LINEAGE>;
export type DetachMessage = GetType<typeof DETACH>;
export type CancelMessage = GetType<typeof CANCEL>;
export type TokensMessage = GetType<typeof TOKENS>;
export type EndMessage = GetType<typeof END>;
export type FailedMessage = GetType<typeof FAILED>;
export type RefusedMessage = GetType<typeof REFUSED>;
export type CallMessage = GetType<typeof CALL>;
export type ReplyMessage = GetType<typeof REPLY>;
export type AskKeyMessage = GetType<typeof ASK_KEY>;
export type KeyStateMessage = GetType<typeof KEY_STATE>;
export type LeaveMessage = GetType<typeof LEAVE>;
export type ConfigMessage = GetType<typeof CONFIG>;
export type ConfigReportMessage = GetType<typeof CONFIG_REPORT>;

/** Any message of the protocol. */
export type Message =
  | HelloMessage
  | HeartbeatMessage
  | StartMessage
  | AttachMessage
  | LineageMessage
  | DetachMessage
  | CancelMessage
  | TokensMessage
  | EndMessage
  | FailedMessage
  | RefusedMessage
  | CallMessage
  | ReplyMessage
  | AskKeyMessage
  | KeyStateMessage
  | LeaveMessage
  | ConfigMessage
  | ConfigReportMessage
  | WatchMessage
  | ChangesMessage
  | AliveMessage
  | AskPermitMessage
  | PermitMessage;

/** The Codec of each message. */
export const MESSAGE_CODECS: Readonly<Record<MessageType, Codec<Message>>> = {
  [MessageType.HELLO]: HELLO,
  [MessageType.HEARTBEAT]: HEARTBEAT,
  [MessageType.START]: START,
  [MessageType.ATTACH]: ATTACH,
  [MessageType.LINEAGE]: LINEAGE,
  [MessageType.DETACH]: DETACH,
  [MessageType.CANCEL]: CANCEL,
  [MessageType.TOKENS]: TOKENS,
  [MessageType.END]: END,
  [MessageType.FAILED]: FAILED,
  [MessageType.REFUSED]: REFUSED,
  [MessageType.CALL]: CALL,
  [MessageType.REPLY]: REPLY,
  [MessageType.ASK_KEY]: ASK_KEY,
  [MessageType.KEY_STATE]: KEY_STATE,
  [MessageType.LEAVE]: LEAVE,
  [MessageType.CONFIG]: CONFIG,
  [MessageType.CONFIG_REPORT]: CONFIG_REPORT,
  [MessageType.WATCH]: WATCH,
  [MessageType.CHANGES]: CHANGES,
  [MessageType.ALIVE]: ALIVE,
  [MessageType.ASK_PERMIT]: ASK_PERMIT,
  [MessageType.PERMIT]: PERMIT,
} as unknown as Record<MessageType, Codec<Message>>;

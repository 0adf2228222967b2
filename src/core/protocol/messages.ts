/**
 * Messages between the system's processes. Each is decoded by its Codec at
 * the connection; unknown or malformed messages close the connection.
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

/** Discriminates the messages. */
export enum MessageType {
  HELLO = 'hello',
  HEARTBEAT = 'heartbeat',
  START = 'start',
  ATTACH = 'attach',
  LINEAGE = 'lineage',
  DETACH = 'detach',
  CANCEL = 'cancel',
  TOKENS = 'tokens',
  END = 'end',
  FAILED = 'failed',
  REFUSED = 'refused',
  CALL = 'call',
  REPLY = 'reply',
  ASK_KEY = 'ask_key',
  KEY_STATE = 'key_state',
  LEAVE = 'leave',
  CONFIG = 'config',
  CONFIG_REPORT = 'config_report',
}

/** The roles of a process, as it greets its peers. */
export enum PeerRole {
  ENTRY = 'entry',
  AGENT = 'agent',
}

/** First message of each side; another version closes the connection. */
export const HELLO = Codec.interface({
  type: exactly(MessageType.HELLO),
  protocol: number,
  role: enumeration(PeerRole),
  vm: string,
  /** Identity of this run of the process. */
  incarnation: string,
  dataCentre: string,
});

/** What an agent's target is doing. */
export enum TargetPhase {
  /** The target answers its probes. */
  HEALTHY = 'healthy',
  /** The target does not answer its probes. */
  UNRESPONSIVE = 'unresponsive',
  /** The target's process is gone. */
  DOWN = 'down',
}

/** Periodic word of a process about itself. */
export const HEARTBEAT = Codec.interface({
  type: exactly(MessageType.HEARTBEAT),
  sequence: number,
  phase: enumeration(TargetPhase),
  leaving: boolean,
  running: number,
  waiting: number,
  capacity: number,
  /** Identity of the target's process; empty where it has none. */
  targetInstance: string,
  cachedPrefixes: array(string),
  configVersion: number,
});

/** A token with its text. */
export const TOKEN = Codec.interface({id: number, text: string});

/** What to generate. */
export const GENERATION_SPEC = Codec.interface({
  model: string,
  prompt: string,
  maxTokens: number,
  stop: array(string),
  temperature: number,
  priority: number,
});

/** Entry to agent: run an attempt, from `resumeFrom` on. */
export const START = Codec.interface({
  type: exactly(MessageType.START),
  requestId: string,
  attemptId: string,
  clientAccount: string,
  /** Fingerprint of client account and content. */
  fingerprint: string,
  spec: GENERATION_SPEC,
  /** The answer so far: ids and texts, position 0 first. */
  resumeFrom: array(TOKEN),
  /** Time left for the whole answer, in milliseconds. */
  deadlineMs: number,
  /** Engine crashes that this request was in. */
  crashes: optional(array(string)),
  /** Whether it may run beside another request of the same crash. */
  mayShare: optional(boolean),
});

/** Entry to agent or entry: send an attempt's journal from a position on. */
export const ATTACH = Codec.interface({
  type: exactly(MessageType.ATTACH),
  requestId: string,
  attemptId: string,
  clientAccount: string,
  fingerprint: string,
  position: number,
});

/** Entry to entry: what the tokens from a position on are from. */
export const LINEAGE = Codec.interface({
  type: exactly(MessageType.LINEAGE),
  /** The attempt that ATTACH named. */
  attemptId: string,
  /** The attempt that wrote, or was to write, from `position` on. */
  writerId: string,
  agentVm: string,
  agentIncarnation: string,
  position: number,
});

/** Entry to agent: no longer send this attempt's tokens. */
export const DETACH = Codec.interface({
  type: exactly(MessageType.DETACH),
  attemptId: string,
});

/** Entry to agent: stop this attempt. */
export const CANCEL = Codec.interface({
  type: exactly(MessageType.CANCEL),
  attemptId: string,
});

/** Agent to entry: tokens of an attempt, in columns. */
export const TOKENS = Codec.interface({
  type: exactly(MessageType.TOKENS),
  attemptId: string,
  position: number,
  ids: array(number),
  texts: array(string),
});

/** Agent to entry: the attempt's answer is whole and has `length` tokens. */
export const END = Codec.interface({
  type: exactly(MessageType.END),
  attemptId: string,
  length: number,
  finishReason: enumeration(FinishReason),
});

/** Agent to entry: the attempt broke off after it was admitted. */
export const FAILED = Codec.interface({
  type: exactly(MessageType.FAILED),
  attemptId: string,
  reason: enumeration(RetryReason),
  detail: string,
  /** Identity of the engine's crash; absent where it did not crash. */
  crashId: optional(string),
  /** This request alone can have caused that crash and an earlier one. */
  isCulprit: optional(boolean),
});

/** Answer to START, ATTACH or CALL that was not admitted. */
export const REFUSED = Codec.interface({
  type: exactly(MessageType.REFUSED),
  /** The attempt or call that was refused. */
  id: string,
  reason: enumeration(RefusalReason),
  ran: enumeration(Executed),
  detail: string,
  retryAfterMs: optional(number),
});

/** A header line. */
export const HEADER_FIELD = Codec.interface({name: string, value: string});

/** Entry to agent: call the plain service. */
export const CALL = Codec.interface({
  type: exactly(MessageType.CALL),
  callId: string,
  clientAccount: string,
  /** Idempotency key; empty for an idempotent call. */
  key: string,
  fingerprint: string,
  /** Incarnation that the claim names; another one refuses. */
  incarnation: string,
  method: string,
  path: string,
  headers: array(HEADER_FIELD),
  body: byteString,
  deadlineMs: number,
  /** When the key was claimed, in ms since the epoch; 0 without a key. */
  claimedAtMs: number,
});

/** Agent to entry: the service's answer. */
export const REPLY = Codec.interface({
  type: exactly(MessageType.REPLY),
  callId: string,
  status: number,
  headers: array(HEADER_FIELD),
  body: byteString,
});

/** Entry to agent: what became of a key; optionally promise to refuse it. */
export const ASK_KEY = Codec.interface({
  type: exactly(MessageType.ASK_KEY),
  callId: string,
  clientAccount: string,
  key: string,
  fingerprint: string,
  /** If the key was not admitted, never admit it. */
  promiseNever: boolean,
  /** How long to wait for a running call to end, in milliseconds. */
  waitMs: number,
});

/** What an agent knows of a key. */
export enum KeyPhase {
  UNSEEN = 'unseen',
  PROMISED_NEVER = 'promised_never',
  RUNNING = 'running',
  DONE = 'done',
  /** Sent to the target, which gave no whole answer. */
  UNCERTAIN = 'uncertain',
}

/** Answer to ASK_KEY; an outcome follows as REPLY when DONE. */
export const KEY_STATE = Codec.interface({
  type: exactly(MessageType.KEY_STATE),
  callId: string,
  phase: enumeration(KeyPhase),
  incarnation: string,
});

/**
 * Entry to agent: the target leaves, and this entry begins no more work
 * there. Sent when the VM list says so, and as the answer to a heartbeat that
 * says so.
 */
export const LEAVE = Codec.interface({type: exactly(MessageType.LEAVE)});

/** Any process to any: an accepted configuration. */
export const CONFIG = Codec.interface({
  type: exactly(MessageType.CONFIG),
  version: number,
  /** The stored value; null where only the version is told. */
  value: unknown,
  /** Time since the platform confirmed it, in milliseconds. */
  ageMs: number,
});

/** Any process to the one that passed it on: what is in force. */
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

/** Any message after the greeting. */
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
  | ConfigReportMessage;

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
} as unknown as Record<MessageType, Codec<Message>>;

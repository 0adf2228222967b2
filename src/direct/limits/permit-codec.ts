/** Turns questions for permits and their answers into messages and back. */
import type {
  HeardLimit,
  PermitAnswer,
  PermitQuery,
} from '../../core/limits/index.js';
import type {
  AskPermitMessage,
  PermitMessage,
} from '../../core/protocol/index.js';
import {MessageType} from '../../core/protocol/index.js';
import {MAX_PERMIT_WAIT_MS} from './consts.js';

/** Age that stands for a limit that was never heard, in milliseconds. */
const MAX_AGE_MS = 86_400_000;

/** Times are told as ages, as the clocks of two entries differ. */
interface TimedMessage {
  readonly askId: number;
  /** Time of sending or receiving, on the monotonic clock. */
  readonly nowMs: number;
}

/**
 * Encodes a question.
 *
 * @example
 * connection.send(toAskPermit(query, {askId: 7, nowMs: clock.now()}));
 */
export function toAskPermit(
  query: PermitQuery,
  {askId, nowMs}: TimedMessage,
): AskPermitMessage {
  const {target, limit, need, priority, clientAccount} = query;
  return {
    type: MessageType.ASK_PERMIT,
    askId,
    target,
    ...toAge(limit, nowMs),
    need,
    priority,
    clientAccount,
  };
}

/**
 * Decodes a question.
 *
 * @example
 * grant(toPermitQuery(message, clock.now()));
 */
export function toPermitQuery(
  message: AskPermitMessage,
  nowMs: number,
): PermitQuery {
  const {target, need, priority, clientAccount} = message;
  const limit = toHeardLimit(message, nowMs);
  return {target, limit, need, priority, clientAccount};
}

/**
 * Encodes an answer.
 *
 * @example
 * connection.send(toPermit(answer, {askId, nowMs: clock.now()}));
 */
export function toPermit(
  answer: PermitAnswer,
  {askId, nowMs}: TimedMessage,
): PermitMessage {
  const {isGranted, limit} = answer;
  const retryAfterMs = Math.min(answer.retryAfterMs, MAX_PERMIT_WAIT_MS);
  return {
    type: MessageType.PERMIT,
    askId,
    isGranted,
    retryAfterMs,
    ...toAge(limit, nowMs),
  };
}

/**
 * Decodes an answer.
 *
 * @example
 * resolve(toPermitAnswer(message, clock.now()));
 */
export function toPermitAnswer(
  message: PermitMessage,
  nowMs: number,
): PermitAnswer {
  const {isGranted} = message;
  const retryAfterMs = clamp(message.retryAfterMs, MAX_PERMIT_WAIT_MS);
  return {isGranted, retryAfterMs, limit: toHeardLimit(message, nowMs)};
}

function toAge({perSecond, heardAtMs}: HeardLimit, nowMs: number) {
  return {perSecond, heardAgoMs: Math.min(nowMs - heardAtMs, MAX_AGE_MS)};
}

/**
 * Nothing was heard in the future, whatever another entry says, and a limit that is
 * no number of requests counts as never heard.
 */
function toHeardLimit(
  message: AskPermitMessage | PermitMessage,
  nowMs: number,
): HeardLimit {
  const {perSecond, heardAgoMs} = message;
  const isSound =
    perSecond === undefined || (Number.isFinite(perSecond) && perSecond >= 0);
  if (!isSound) return {heardAtMs: Number.NEGATIVE_INFINITY};
  return {perSecond, heardAtMs: nowMs - clamp(heardAgoMs, MAX_AGE_MS)};
}

/** A time from 0 to a limit; the limit itself for what is no number. */
function clamp(ms: number, maxMs: number): number {
  return Number.isNaN(ms) ? maxMs : Math.min(Math.max(0, ms), maxMs);
}

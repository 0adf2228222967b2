/** Messages between entries of which one grants permits to the other. */
import type {GetType} from 'purify-ts';
import {
  boolean,
  Codec,
  enumeration,
  exactly,
  number,
  optional,
  string,
} from 'purify-ts';

import {PermitNeed} from '../limits/index.js';
import {MessageType} from './message-type.js';

/** A limit that a target names, with the age of that knowledge. */
const LIMIT = {
  /** Requests a second; absent if the target names no limit. */
  perSecond: optional(number),
  /** Time since it was heard, in milliseconds. */
  heardAgoMs: number,
};

/** Entry to entry: may one request be sent to a target that names a limit? */
export const ASK_PERMIT = Codec.interface({
  type: exactly(MessageType.ASK_PERMIT),
  askId: number,
  /** Incarnation of the target. */
  target: string,
  ...LIMIT,
  need: enumeration(PermitNeed),
  priority: number,
  clientAccount: string,
});

/** Response to ASK_PERMIT. */
export const PERMIT = Codec.interface({
  type: exactly(MessageType.PERMIT),
  askId: number,
  isGranted: boolean,
  /** Time until a permit can be had, in milliseconds. */
  retryAfterMs: number,
  ...LIMIT,
});

export type AskPermitMessage = GetType<typeof ASK_PERMIT>;
export type PermitMessage = GetType<typeof PERMIT>;

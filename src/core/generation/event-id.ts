/** Ids of server-sent events, which suffice to find and resume an output. */
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';

import {Layer} from '../errors/types.js';
import type {GenerationError} from './types.js';
import {GenerationErrorKind} from './types.js';

/** Location of an output, and the position up to which the caller has it. */
export interface EventId {
  readonly requestId: string;
  readonly attemptId: string;
  /** VM of the agent that journals the attempt. */
  readonly agentVm: string;
  readonly agentIncarnation: string;
  /** VM of the entry that holds a copy of the output. */
  readonly entryVm: string;
  /** Next position that the caller needs. */
  readonly position: number;
}

const SEPARATOR = ':';
const FIELD_COUNT = 6;
const MAX_EVENT_ID_LENGTH = 512;
const POSITION_PATTERN = /^\d{1,9}$/;
const NAME_PATTERN = /^[A-Za-z0-9._-]+$/;

/**
 * Encodes an event id.
 *
 * @example
 * const id = encodeEventId({...location, position: 12});
 */
export function encodeEventId(id: EventId): string {
  return [
    id.requestId,
    id.attemptId,
    id.agentVm,
    id.agentIncarnation,
    id.entryVm,
    String(id.position),
  ].join(SEPARATOR);
}

/**
 * Decodes an event id; fails with BAD_EVENT_ID.
 *
 * @example
 * decodeEventId(req.header('last-event-id') ?? '');
 */
export function decodeEventId(text: string): Result<EventId, GenerationError> {
  if (text.length > MAX_EVENT_ID_LENGTH) return err(badEventId('too long'));
  const fields = text.split(SEPARATOR);
  if (fields.length !== FIELD_COUNT) {
    return err(badEventId(`expected ${FIELD_COUNT} fields`));
  }
  const names = fields.slice(0, -1);
  if (!names.every((name) => NAME_PATTERN.test(name))) {
    return err(badEventId('malformed name'));
  }
  const last = fields[FIELD_COUNT - 1]!;
  if (!POSITION_PATTERN.test(last)) {
    return err(badEventId('malformed position'));
  }
  const [requestId, attemptId, agentVm, agentIncarnation, entryVm] = names as [
    string,
    string,
    string,
    string,
    string,
  ];
  const position = Number(last);
  return ok({
    requestId,
    attemptId,
    agentVm,
    agentIncarnation,
    entryVm,
    position,
  });
}

function badEventId(detail: string): GenerationError {
  const kind = GenerationErrorKind.BAD_EVENT_ID;
  return {layer: Layer.GENERATION, kind, detail};
}

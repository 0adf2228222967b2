/** What a stand-in target reads from requests, and how it writes events. */
import type {IncomingMessage} from 'node:http';

import {Header} from '../../platform/names.js';

/** Header in which callers of the soak state the version of their API key. */
export const KEY_HEADER = 'used-key';

/** Whether a request is one of a caller, not a health check or report. */
export function isOfCaller({headers}: IncomingMessage): boolean {
  return headers[Header.ATTEMPT_ID] !== undefined;
}

/** Encodes one event of a stream. */
export function encodeEvent(id: number, attemptId: string): string {
  return `id: ${id}\ndata: piece ${id} of ${attemptId}\n\n`;
}

/** Returns the attempt id of a request and the version of its API key. */
export function arrivalOf(req: IncomingMessage): {
  attemptId: string;
  key: string;
} {
  const attemptId = String(req.headers[Header.ATTEMPT_ID] ?? '');
  return {attemptId, key: String(req.headers[KEY_HEADER] ?? '')};
}

/** Reads the whole body of a request. */
export async function readText(req: IncomingMessage): Promise<string> {
  let text = '';
  for await (const chunk of req) text += String(chunk);
  return text;
}

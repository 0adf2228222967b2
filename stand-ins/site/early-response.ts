/** Responses that a target sends before it has read the request. */
import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

import {Header} from '../../platform/names.js';

/** Responses without length or chunks, or with an invalid status. */
export enum EarlyResponse {
  /** Part of a 200, and a reset at once. */
  RESET = '200, reset',
  CLOSING_RESET = '200 with Connection: close, reset',
  /** The head of a 200 and a reset. */
  EMPTY_RESET = '200 without a part, reset',
  LATER_RESET = '200 after some of the upload, reset',
  CREATED_RESET = '201, reset',
  /** Part of a 200; the target ends its side and reads nothing more. */
  END = '200, end',
  STATUS_000 = 'status 000',
  STATUS_007 = 'status 007',
  STATUS_099 = 'status 099',
  STATUS_600 = 'status 600',
  STATUS_999 = 'status 999',
  STATUS_OF_TWO_DIGITS = 'status 20',
  STATUS_OF_LETTERS = 'status OK',
  STATUS_IS_ABSENT = 'no status',
}

/** Responses of which a part arrives and the rest is lost. */
export const BROKEN_RESPONSES: readonly EarlyResponse[] = [
  EarlyResponse.RESET,
  EarlyResponse.CLOSING_RESET,
  EarlyResponse.EMPTY_RESET,
  EarlyResponse.LATER_RESET,
  EarlyResponse.CREATED_RESET,
];

/** Responses whose status is none of the protocol, otherwise complete. */
export const INVALID_STATUSES: readonly EarlyResponse[] = [
  EarlyResponse.STATUS_000,
  EarlyResponse.STATUS_007,
  EarlyResponse.STATUS_099,
  EarlyResponse.STATUS_600,
  EarlyResponse.STATUS_999,
  EarlyResponse.STATUS_OF_TWO_DIGITS,
  EarlyResponse.STATUS_OF_LETTERS,
  EarlyResponse.STATUS_IS_ABSENT,
];

/** Time for part of the upload to arrive, in milliseconds. */
const UPLOAD_MS = 30;

const STATUSES: Partial<Record<EarlyResponse, string>> = {
  [EarlyResponse.CREATED_RESET]: '201 Created',
  [EarlyResponse.STATUS_000]: '000 None',
  [EarlyResponse.STATUS_007]: '007 Low',
  [EarlyResponse.STATUS_099]: '099 Low',
  [EarlyResponse.STATUS_600]: '600 High',
  [EarlyResponse.STATUS_999]: '999 High',
  [EarlyResponse.STATUS_OF_TWO_DIGITS]: '20 OK',
  [EarlyResponse.STATUS_OF_LETTERS]: 'OK',
  [EarlyResponse.STATUS_IS_ABSENT]: '',
};

/**
 * Sends a response at the first bytes of a request and ends its connection.
 *
 * @example
 * createServer((req) => sendEarlyResponse({req, kind, targetId, body}));
 */
export function sendEarlyResponse(options: {
  req: IncomingMessage;
  kind: EarlyResponse;
  targetId: string;
  /** Body, or the part of it that is sent. */
  body: string;
}): void {
  const {kind} = options;
  const {socket} = options.req;
  const text = encodeResponse(options);
  const respond = () => socket.write(text, () => endConnection(socket, kind));
  if (kind === EarlyResponse.LATER_RESET) setTimeout(respond, UPLOAD_MS);
  else respond();
}

function encodeResponse(options: {
  req: IncomingMessage;
  kind: EarlyResponse;
  targetId: string;
  body: string;
}): string {
  const {req, kind, targetId, body} = options;
  const lines = [
    `HTTP/1.1 ${STATUSES[kind] ?? '200 OK'}`,
    `Attempt-Id: ${String(req.headers[Header.ATTEMPT_ID] ?? '')}`,
    `Server-Stamp: s-${targetId}`,
    `Instance-Id: ${targetId}`,
  ];
  if (kind === EarlyResponse.CLOSING_RESET) lines.push('Connection: close');
  if (INVALID_STATUSES.includes(kind))
    lines.push(`Content-Length: ${Buffer.byteLength(body)}`);
  const sent = kind === EarlyResponse.EMPTY_RESET ? '' : body;
  return `${lines.join('\r\n')}\r\n\r\n${sent}`;
}

function endConnection(socket: Socket, kind: EarlyResponse): void {
  if (BROKEN_RESPONSES.includes(kind)) socket.resetAndDestroy();
  else if (kind === EarlyResponse.END) socket.end();
}

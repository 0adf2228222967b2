/** Checks refusals as callers and operators see them. */
import {connect} from 'node:net';

import {expect} from 'vitest';

import type {RefusalReason} from '../../src/core/errors/index.js';
import type {Daemon} from '../../tools/lab/lab.js';
import type {HttpResponse} from './callers.js';
import {send} from './callers.js';

interface Problem {
  readonly status: number;
  readonly reason: RefusalReason;
  readonly ran: string;
  readonly hint: string;
  readonly detail: string;
}

/** Checks for a complete problem document of a request that did not run. */
export function expectRefusal(
  res: HttpResponse,
  {status, reason}: {status: number; reason: RefusalReason},
): void {
  expect([res.status, res.text]).toEqual([status, expect.any(String)]);
  expect(res.headers['content-type']).toBe('application/problem+json');
  const problem = JSON.parse(res.text) as Problem;
  expect(problem).toMatchObject({status, reason, ran: 'no'});
  expect(problem.hint).not.toBe('');
  expect(problem.detail).not.toBe('');
}

/** Reads an entry's counter of refusals with one reason. */
export async function countRefusals(
  entry: Daemon,
  reason: RefusalReason,
): Promise<number> {
  const url = `${entry.operatorsUrl}/metrics`;
  const {text} = await send({url, method: 'GET'});
  const line = `plantainrill_refusals_total{reason="${reason}"} `;
  const found = text.split('\n').find((row) => row.startsWith(line));
  return Number(found?.slice(line.length));
}

/** Sends raw text and reads until the connection closes. */
export function sendRaw(entry: Daemon, text: string): Promise<HttpResponse> {
  const {port, hostname} = new URL(entry.callersUrl);
  return new Promise((resolve, reject) => {
    const socket = connect({host: hostname, port: Number(port)});
    let received = '';
    socket.on('data', (chunk) => (received += chunk.toString()));
    socket.on('error', reject);
    socket.on('close', () => resolve(parseResponse(received)));
    socket.write(text);
  });
}

function parseResponse(received: string): HttpResponse {
  const [head = '', text = ''] = received.split('\r\n\r\n', 2);
  const [statusLine = '', ...lines] = head.split('\r\n');
  const fields = lines.map((line) => line.split(': ', 2) as [string, string]);
  const status = Number(statusLine.split(' ')[1]);
  return {status, headers: Object.fromEntries(fields), text};
}

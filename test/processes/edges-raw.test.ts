/** Malformed HTTP requests are refused with a reason and start no work. */
import {afterAll, beforeAll, describe, expect, it} from 'vitest';

import {
  HEADERS_TIMEOUT_MS,
  MAX_HEADER_BYTES,
} from '../../src/adapters/http-server.js';
import {RefusalReason} from '../../src/core/errors/index.js';
import {DEMO_KEY} from '../../tools/lab/caller.js';
import type {Daemon} from '../../tools/lab/lab.js';
import {Site} from '../../tools/lab/site.js';
import {readCounts} from '../support/callers.js';
import {countRefusals, expectRefusal, sendRaw} from '../support/refusals.js';

const BODY_BYTES = 4_096;
const BODY_TIMEOUT_MS = 400;
const COMPLETIONS = '/v1/completions';

let site: Site;

beforeAll(async () => {
  site = await Site.create({
    entries: 1,
    engines: 1,
    stock: 1,
    editBase: (base) => {
      base['limits'] = {bodyBytes: BODY_BYTES, bodyTimeoutMs: BODY_TIMEOUT_MS};
    },
  });
});

afterAll(() => site?.close());

function entry(): Daemon {
  return site.entries[0]!;
}

const RAW_CASES = [
  {
    name: 'a body that arrives too slowly',
    text: [
      `POST ${COMPLETIONS} HTTP/1.1`,
      'host: entry',
      `authorization: Bearer ${DEMO_KEY}`,
      'content-length: 100',
      '',
      '{"model":',
    ],
    status: 408,
    reason: RefusalReason.BODY_TOO_SLOW,
  },
  {
    name: 'a body over the limit without content-length',
    text: [
      `POST ${COMPLETIONS} HTTP/1.1`,
      'host: entry',
      `authorization: Bearer ${DEMO_KEY}`,
      'transfer-encoding: chunked',
      '',
      '2000',
      'x'.repeat(0x2000),
      '',
    ],
    status: 413,
    reason: RefusalReason.BODY_TOO_LARGE,
  },
  {
    name: 'headers that are too large',
    text: [
      `GET /services/stock/stock/x HTTP/1.1`,
      'host: entry',
      `x-filler: ${'x'.repeat(MAX_HEADER_BYTES)}`,
      '',
      '',
    ],
    status: 431,
    reason: RefusalReason.HEADERS_TOO_LARGE,
  },
  {
    name: 'a URL that is too long',
    text: [
      `GET /services/stock/${'x'.repeat(MAX_HEADER_BYTES)} HTTP/1.1`,
      'host: entry',
      '',
      '',
    ],
    status: 431,
    reason: RefusalReason.HEADERS_TOO_LARGE,
  },
  {
    name: 'invalid HTTP',
    text: ['nonsense', '', ''],
    status: 400,
    reason: RefusalReason.BAD_REQUEST,
  },
  {
    name: 'a malformed host',
    text: [
      `GET /services/stock/stock/x HTTP/1.1`,
      'host: a b/c',
      'connection: close',
      '',
      '',
    ],
    status: 400,
    reason: RefusalReason.BAD_REQUEST,
  },
  {
    name: `headers that are incomplete after ${HEADERS_TIMEOUT_MS} ms`,
    text: [`GET /services/stock/stock/x HTTP/1.1`, 'host: en'],
    status: 408,
    reason: RefusalReason.HEADERS_TOO_SLOW,
  },
];

describe('a connection is refused and closed', () => {
  it.each(RAW_CASES)('for $name', async (row) => {
    const before = await readCounts(site);
    const refusalsBefore = await countRefusals(entry(), row.reason);
    expectRefusal(await sendRaw(entry(), row.text.join('\r\n')), row);
    expect(await countRefusals(entry(), row.reason)).toBe(refusalsBefore + 1);
    expect(await readCounts(site)).toEqual(before);
  });
});

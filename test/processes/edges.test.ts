/** Invalid requests of callers are refused with a reason and start no work. */
import {afterAll, beforeAll, describe, expect, it} from 'vitest';

import {RefusalReason} from '../../src/core/errors/index.js';
import {DEMO_KEY} from '../../tools/lab/caller.js';
import {Site} from '../../tools/lab/site.js';
import {
  expectedText,
  readCounts,
  parseEvents,
  send,
} from '../support/callers.js';
import {countRefusals, expectRefusal, sendRaw} from '../support/refusals.js';

const BODY_BYTES = 4_096;
const MAX_TOKENS = 100;
const OTHER_KEY = 'other-key';
const OTHER_KEY_SHA256 =
  '580843d03d2216ff1a275d0991bad66e4d1af871171d929e9de604b7959f9bca';

let site: Site;

beforeAll(async () => {
  site = await Site.create({
    entries: 2,
    engines: 1,
    orders: 1,
    stock: 1,
    engineFlags: {'pace-ms': 2},
    editBase: (base) => {
      base['limits'] = {
        bodyBytes: BODY_BYTES,
        maxTokens: MAX_TOKENS,
      };
      const accounts = base['clientAccounts'] as Record<string, unknown>;
      accounts['other'] = {keySha256: OTHER_KEY_SHA256, maxConcurrent: 8};
    },
  });
});

afterAll(() => site?.close());

interface HttpCase {
  readonly name: string;
  readonly path?: string;
  readonly method?: 'GET' | 'POST';
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly status: number;
  readonly reason: RefusalReason;
}

const COMPLETIONS = '/v1/completions';
const DEEP_JSON = '['.repeat(200) + ']'.repeat(200);
const CHAT = '/v1/chat/completions';
const BOOKINGS = '/services/orders/bookings';
const KEY_HEADER = {'idempotency-key': 'edge-1'};

function completion(fields: object): string {
  const req = {model: 'quote-writer', prompt: 'x', max_tokens: 10};
  return JSON.stringify({...req, ...fields});
}

const BAD_BODIES: readonly HttpCase[] = [
  ['invalid JSON', COMPLETIONS, '{'],
  ['JSON that is nested deeply', COMPLETIONS, DEEP_JSON],
  ['an empty body', COMPLETIONS, ''],
  ['an array', COMPLETIONS, '[]'],
  ['no model', COMPLETIONS, '{"prompt":"x"}'],
  ['a prompt of the wrong type', COMPLETIONS, completion({prompt: 7})],
  ['max_tokens as text', COMPLETIONS, completion({max_tokens: '9'})],
  ['max_tokens of 0', COMPLETIONS, completion({max_tokens: 0})],
  ['a fractional max_tokens', COMPLETIONS, completion({max_tokens: 1.5})],
  ['max_tokens over the limit', COMPLETIONS, completion({max_tokens: 101})],
  ['an empty stop string', COMPLETIONS, completion({stop: ['']})],
  ['five stop strings', COMPLETIONS, completion({stop: [...'abcde']})],
  ['two completions at once', COMPLETIONS, completion({n: 2})],
  ['a temperature out of range', COMPLETIONS, completion({temperature: -1})],
  ['stream as text', COMPLETIONS, completion({stream: 'yes'})],
  ['a chat without messages', CHAT, completion({})],
  ['a message without content', CHAT, completion({messages: [{role: 'user'}]})],
  [
    'an image in a message',
    CHAT,
    completion({
      messages: [{role: 'user', content: [{type: 'image_url', text: 'x'}]}],
    }),
  ],
  ['a chat with an empty message list', CHAT, completion({messages: []})],
].map(([name, path, body]) => ({
  name: name!,
  path: path!,
  body: body!,
  status: 400,
  reason: RefusalReason.BAD_REQUEST,
}));

const BAD_KEYS: readonly HttpCase[] = [
  ['no bearer key', ''],
  ['an unknown bearer key', 'Bearer nobody'],
  ['an empty bearer key', 'Bearer '],
  ['another scheme', `Basic ${DEMO_KEY}`],
].flatMap(([name, authorization]) =>
  [COMPLETIONS, BOOKINGS].map((path) => ({
    name: `${name} at ${path}`,
    path,
    headers: {...KEY_HEADER, authorization: authorization!},
    // An unauthenticated request is refused for its key before its body is
    // checked.
    body: '{'.repeat(BODY_BYTES + 1),
    status: 401,
    reason: RefusalReason.UNAUTHENTICATED,
  })),
);

const BAD_DEADLINES: readonly HttpCase[] = [
  '0',
  '-5',
  '1.5',
  'soon',
  '',
  '99999999999',
].map((deadline) => ({
  name: `the deadline "${deadline}"`,
  headers: {'x-deadline-ms': deadline},
  body: completion({}),
  status: 400,
  reason: RefusalReason.BAD_REQUEST,
}));

const BAD_EVENT_IDS: readonly HttpCase[] = [
  'nonsense',
  'a:b:c:d:e:x',
  'a:b:c:d:e:-1',
  'a:b:c:d:e:f:1',
  `${'a'.repeat(600)}:b:c:d:e:1`,
].map((id) => ({
  name: `the event id "${id.slice(0, 20)}"`,
  headers: {'last-event-id': id},
  body: completion({}),
  status: 400,
  reason: RefusalReason.BAD_EVENT_ID,
}));

const BAD_PATHS: readonly HttpCase[] = [
  '/services/orders/../stock/stock/pumice',
  '/services/orders/%2e%2e/bookings',
  '/services/orders/%2E./bookings',
  '/services/orders/%252e%252e/bookings',
  '/services/orders/..%2fbookings',
  '/services/orders/..;/bookings',
  '/services/orders/%5c..%5cbookings',
  '/services/orders/./bookings',
  '/services/../v1/completions',
  '/services/orders/%zz',
].map((path) => ({
  name: `the path ${path}`,
  path,
  headers: KEY_HEADER,
  body: '{}',
  status: 400,
  reason: RefusalReason.BAD_REQUEST,
}));

const OTHER_CASES: readonly HttpCase[] = [
  {
    name: 'a body over the limit',
    body: completion({prompt: 'x'.repeat(BODY_BYTES)}),
    status: 413,
    reason: RefusalReason.BODY_TOO_LARGE,
  },
  {
    name: 'a booking over the limit',
    path: BOOKINGS,
    headers: KEY_HEADER,
    body: 'x'.repeat(BODY_BYTES + 1),
    status: 413,
    reason: RefusalReason.BODY_TOO_LARGE,
  },
  {
    name: 'an unknown model',
    body: completion({model: 'nobody'}),
    status: 404,
    reason: RefusalReason.UNKNOWN_SERVICE,
  },
  {
    name: 'an unknown service',
    path: '/services/nobody/bookings',
    headers: KEY_HEADER,
    body: '{}',
    status: 404,
    reason: RefusalReason.UNKNOWN_SERVICE,
  },
  {
    name: 'a generation service called as a plain service',
    path: '/services/drafts/health',
    method: 'GET',
    status: 404,
    reason: RefusalReason.UNKNOWN_SERVICE,
  },
  {
    name: 'an unknown path',
    path: '/v2/nothing',
    body: '{}',
    status: 404,
    reason: RefusalReason.UNKNOWN_SERVICE,
  },
  {
    name: 'a booking without its key',
    path: BOOKINGS,
    body: '{}',
    status: 400,
    reason: RefusalReason.KEY_MISSING,
  },
  ...['with space', 'x'.repeat(129), 'k\u00e9y'].map((key) => ({
    name: `the idempotency key "${key.slice(0, 12)}"`,
    path: BOOKINGS,
    headers: {'idempotency-key': key},
    body: '{}',
    status: 400,
    reason: RefusalReason.KEY_INVALID,
  })),
];

describe('a request is refused and nothing runs', () => {
  const cases = [
    ...BAD_BODIES,
    ...BAD_KEYS,
    ...BAD_DEADLINES,
    ...BAD_EVENT_IDS,
    ...OTHER_CASES,
  ];

  it.each(cases)('for $name', async (row) => {
    const before = await readCounts(site);
    const refusalsBefore = await countRefusals(site.entries[0]!, row.reason);
    const {path = COMPLETIONS, method, headers, body} = row;
    const url = `${site.entries[0]!.callersUrl}${path}`;
    expectRefusal(await send({url, method, headers, body}), row);
    expect(await countRefusals(site.entries[0]!, row.reason)).toBe(
      refusalsBefore + 1,
    );
    expect(await readCounts(site)).toEqual(before);
  });

  it.each(BAD_PATHS)('for $name', async (row) => {
    const before = await readCounts(site);
    const head = [
      `GET ${row.path} HTTP/1.1`,
      'host: entry',
      `authorization: Bearer ${DEMO_KEY}`,
      'idempotency-key: edge-1',
      'connection: close',
    ];
    expectRefusal(
      await sendRaw(site.entries[0]!, `${head.join('\r\n')}\r\n\r\n`),
      row,
    );
    expect(await readCounts(site)).toEqual(before);
  });
});

describe('an event id of another client account', () => {
  it('is refused at the entry that holds the output, and leaks nothing at others', async () => {
    const prompt = 'A quote for one account only';
    const [holder, other] = site.entries.map((entry) => entry.callersUrl);
    const body = completion({prompt, max_tokens: MAX_TOKENS, stream: true});
    const first = await send({url: `${holder}${COMPLETIONS}`, body});
    const ids = parseEvents(first.text).flatMap(({id}) => id ?? []);
    const headers = {
      authorization: `Bearer ${OTHER_KEY}`,
      'last-event-id': ids[0]!,
    };
    const before = await readCounts(site);
    const res = await send({url: `${holder}${COMPLETIONS}`, headers, body});
    expectRefusal(res, {status: 400, reason: RefusalReason.BAD_EVENT_ID});
    expect(await readCounts(site)).toEqual(before);
    const otherBody = completion({prompt: 'y', max_tokens: 20, stream: true});
    const otherRes = await send({
      url: `${other}${COMPLETIONS}`,
      headers,
      body: otherBody,
    });
    const secret = expectedText(prompt, MAX_TOKENS).slice(-40);
    expect(otherRes.text).not.toContain(secret);
    const seen = parseEvents(otherRes.text).map(({data}) => data);
    expect(seen.join('')).not.toContain(secret);
  });
});

describe('a path with an empty segment', () => {
  it('is forwarded to its own service', async () => {
    const url = `${site.entries[0]!.callersUrl}/services/stock//evil/stock`;
    const res = await send({url, method: 'GET'});
    // The response of the service itself, which has no such path.
    expect(res.status).toBe(404);
    expect(res.headers['content-type']).toBe('application/json');
  });
});

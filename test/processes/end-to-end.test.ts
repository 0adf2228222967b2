/** Requests through separate processes, checked at both ends. */
import {afterAll, beforeAll, describe, expect, it} from 'vitest';

import {ChatCompletionFormatter} from '../../src/adapters/callers/completion-formatter.js';
import {renderChat} from '../../src/adapters/callers/completion-codec.js';
import {RefusalReason, RetryReason} from '../../src/core/errors/index.js';
import {CounterName, LatencyName} from '../../src/core/metrics/index.js';
import {TransportErrorKind} from '../../src/core/protocol/index.js';
import {sendControl} from '../../tools/lab/lab.js';
import {Site} from '../../tools/lab/site.js';
import type {HttpResponse} from '../support/callers.js';
import {
  expectedText,
  readCounts,
  parseEvents,
  send,
} from '../support/callers.js';

const MAX_TOKENS = 60;

let site: Site;

beforeAll(async () => {
  site = await Site.create({
    entries: 2,
    engines: 2,
    orders: 1,
    stock: 1,
    engineFlags: {'pace-ms': 2},
  });
});

afterAll(() => site?.close());

function entryUrl(index: number): string {
  return site.entries[index]!.callersUrl;
}

interface Chunk {
  readonly id: string;
  readonly object: string;
  readonly created: number;
  readonly model: string;
  readonly choices: ReadonlyArray<{
    readonly index: number;
    readonly text?: string;
    readonly delta?: {readonly role?: string; readonly content?: string};
    readonly message?: {readonly role: string; readonly content: string};
    readonly finish_reason: string | null;
  }>;
  readonly usage?: {
    readonly prompt_tokens: number;
    readonly completion_tokens: number;
    readonly total_tokens: number;
  };
}

interface ApiFormat {
  readonly name: string;
  readonly path: string;
  readonly object: string;
  readonly chunkObject: string;
  /** Body fields with `topic` as the prompt. */
  body(topic: string): object;
  /** The prompt that engines receive for `topic`. */
  prompt(topic: string): string;
  textOf(choice: Chunk['choices'][number]): string | undefined;
}

const API_FORMATS: readonly ApiFormat[] = [
  {
    name: 'text',
    path: '/v1/completions',
    object: 'text_completion',
    chunkObject: 'text_completion',
    body: (topic) => ({prompt: topic}),
    prompt: (topic) => topic,
    textOf: (choice) => choice.text,
  },
  {
    name: 'chat',
    path: '/v1/chat/completions',
    object: 'chat.completion',
    chunkObject: 'chat.completion.chunk',
    body: (topic) => ({messages: [{role: 'user', content: topic}]}),
    prompt: (topic) => renderChat([{role: 'user', content: topic}]),
    textOf: (choice) => choice.message?.content ?? choice.delta?.content,
  },
];

function sendCompletion(
  format: ApiFormat,
  topic: string,
  fields: object,
): Promise<HttpResponse> {
  const body = {
    model: 'quote-writer',
    max_tokens: MAX_TOKENS,
    ...format.body(topic),
    ...fields,
  };
  const url = `${entryUrl(0)}${format.path}`;
  return send({url, body: JSON.stringify(body)});
}

describe.each(API_FORMATS)('a $name completion', (format) => {
  it('is returned complete in one document, and ran once', async () => {
    const before = await readCounts(site);
    const topic = `Pallet quote, one document, ${format.name}`;
    const res = await sendCompletion(format, topic, {});
    expect(res.status).toBe(200);
    const completion = JSON.parse(res.text) as Chunk;
    expect(completion).toMatchObject({
      object: format.object,
      model: 'quote-writer',
    });
    expect(completion.choices).toHaveLength(1);
    const [choice] = completion.choices;
    const expected = expectedText(format.prompt(topic), MAX_TOKENS);
    expect(format.textOf(choice!)).toBe(expected);
    expect(choice).toMatchObject({index: 0, finish_reason: 'length'});
    expect(completion.usage?.completion_tokens).toBe(MAX_TOKENS);
    const after = await readCounts(site);
    expect(after.generations - before.generations).toBe(1);
    expect(after.tokens - before.tokens).toBe(MAX_TOKENS);
  });

  it('is streamed completely in chunks and ends once', async () => {
    const before = await readCounts(site);
    const topic = `Pallet quote, stream, ${format.name}`;
    const fields = {stream: true, stream_options: {include_usage: true}};
    const res = await sendCompletion(format, topic, fields);
    expect(res.status).toBe(200);
    expect(res.headers['content-type']).toMatch(/^text\/event-stream/);
    const events = parseEvents(res.text);
    expect(events.filter(({data}) => data === '[DONE]')).toHaveLength(1);
    expect(events.at(-1)?.data).toBe('[DONE]');
    expect(events.every(({event}) => event === undefined)).toBe(true);
    const chunks = events
      .slice(0, -1)
      .map(({data}) => JSON.parse(data) as Chunk);
    expect(new Set(chunks.map(({id}) => id)).size).toBe(1);
    for (const chunk of chunks) {
      expect(chunk.object).toBe(format.chunkObject);
      expect(chunk.model).toBe('quote-writer');
      expect(Number.isInteger(chunk.created)).toBe(true);
    }
    const choices = chunks.flatMap((chunk) => chunk.choices);
    const text = choices.map((choice) => format.textOf(choice) ?? '').join('');
    expect(text).toBe(expectedText(format.prompt(topic), MAX_TOKENS));
    const reasons = choices.map((choice) => choice.finish_reason);
    expect(reasons.filter((reason) => reason !== null)).toEqual(['length']);
    expect(chunks.at(-1)).toMatchObject({
      choices: [],
      usage: {completion_tokens: MAX_TOKENS},
    });
    const after = await readCounts(site);
    expect(after.generations - before.generations).toBe(1);
    expect(after.tokens - before.tokens).toBe(MAX_TOKENS);
  });

  it('carries no usage unless it is requested', async () => {
    const res = await sendCompletion(format, 'No usage', {stream: true});
    expect(res.text).not.toContain('"usage"');
  });
});

describe('a chat chunk', () => {
  it('carries the role in the first delta only', () => {
    const head = {requestId: 'r', model: 'm', createdMs: 0};
    const writer = new ChatCompletionFormatter(head);
    const deltas = ['a', 'b'].map((text) => writer.formatDelta(text) as Chunk);
    expect(deltas.map(({choices}) => choices[0]?.delta)).toEqual([
      {role: 'assistant', content: 'a'},
      {content: 'b'},
    ]);
  });
});

describe('a message with several text parts', () => {
  it('has the same prompt as the joined text', async () => {
    const [, chat] = API_FORMATS;
    const texts = ['Fitting ', 'notes'];
    const content = texts.map((text) => ({type: 'text', text}));
    const messages = [{role: 'user', content}];
    const res = await sendCompletion(chat!, '', {messages});
    const completion = JSON.parse(res.text) as Chunk;
    const prompt = chat!.prompt(texts.join(''));
    const expected = expectedText(prompt, MAX_TOKENS);
    expect(chat!.textOf(completion.choices[0]!)).toBe(expected);
  });
});

describe('plain services', () => {
  it('runs a booking once for one key at two entries', async () => {
    const before = await readCounts(site);
    const responses: HttpResponse[] = [];
    for (const index of [0, 1, 0]) {
      const url = `${entryUrl(index)}/services/orders/bookings`;
      const headers = {'idempotency-key': 'whole-path-1'};
      responses.push(await send({url, headers, body: '{"pallets":3}'}));
    }
    expect(responses.map(({status}) => status)).toEqual([201, 201, 201]);
    expect(new Set(responses.map(({text}) => text)).size).toBe(1);
    const after = await readCounts(site);
    expect(after.bookings - before.bookings).toBe(1);
  });

  it('forwards a stock lookup with its query', async () => {
    const before = await readCounts(site);
    const url = `${entryUrl(1)}/services/stock/stock/pumice?unit=bag`;
    const res = await send({url, method: 'GET'});
    expect(res.status).toBe(200);
    expect(JSON.parse(res.text)).toMatchObject({item: 'pumice'});
    const after = await readCounts(site);
    expect(after.lookups - before.lookups).toBe(1);
  });
});

/** A sample line, or a line of metadata, of the Prometheus text format. */
const METRIC_LINE =
  /^(# (HELP|TYPE) [a-z_]+ .+|[a-z_]+(\{[a-z_]+="[^"\n]*"\})? (NaN|[-+0-9.e]+))$/;

async function readMetrics(url: string): Promise<HttpResponse> {
  return send({url: `${url}/metrics`, method: 'GET'});
}

function processUrls(): string[] {
  const {entries, engines, orders} = site;
  const agents = [engines[0]!.agent, orders[0]!.agent];
  return [entries[0]!, ...agents].map((process) => process.operatorsUrl);
}

describe('the operators port', () => {
  it('writes valid Prometheus text with every counter, starting at 0', async () => {
    for (const url of processUrls()) {
      const res = await readMetrics(url);
      expect(res.headers['content-type']).toContain('version=0.0.4');
      const lines = res.text.split('\n').filter((line) => line !== '');
      expect(lines.filter((line) => !METRIC_LINE.test(line))).toEqual([]);
      const samples = lines.filter((line) => !line.startsWith('#'));
      const names = samples.map((line) => line.split(' ')[0]);
      expect(new Set(names).size).toBe(names.length);
      const expected = [
        ...Object.values(RefusalReason).map(
          (r) => `refusals_total{reason="${r}"}`,
        ),
        ...Object.values(RetryReason).map(
          (r) => `retries_total{reason="${r}"}`,
        ),
        ...Object.values(TransportErrorKind).map(
          (kind) => `${CounterName.CONNECTIONS_CLOSED}{label="${kind}"}`,
        ),
        ...Object.values(LatencyName).map((name) => `${name}_count`),
      ];
      const full = expected.map((name) => `plantainrill_${name}`);
      expect(full.filter((name) => !names.includes(name))).toEqual([]);
    }
  });

  it('records first-token and token-gap latencies', async () => {
    const {text} = await readMetrics(site.entries[0]!.operatorsUrl);
    const first = /first_token_seconds_count (\d+)/.exec(text);
    expect(Number(first?.[1])).toBeGreaterThan(0);
    const gaps = /token_gap_seconds_count (\d+)/.exec(text);
    expect(Number(gaps?.[1])).toBeGreaterThan(0);
  });

  it('counts its calls to the object store', async () => {
    const {text} = await readMetrics(site.entries[0]!.operatorsUrl);
    const claims = /store_calls_total\{label="create"\} (\d+)/.exec(text);
    expect(Number(claims?.[1])).toBeGreaterThan(0);
  });

  it('writes no log line for a request', async () => {
    const entry = site.entries[0]!;
    const before = entry.proc.stderr;
    const url = `${entry.callersUrl}/services/stock/stock/pumice`;
    for (let i = 0; i < 20; i++) await send({url, method: 'GET'});
    await send({url: `${entry.callersUrl}/nowhere`, method: 'GET'});
    expect(entry.proc.stderr).toBe(before);
    const lines = before.split('\n').filter((line) => line !== '');
    for (const line of lines) {
      expect(JSON.parse(line)).toMatchObject({vm: entry.vm, role: 'entry'});
    }
  });

  it('responds to probes', async () => {
    for (const url of processUrls()) {
      const health = await send({url: `${url}/healthz`, method: 'GET'});
      const ready = await send({url: `${url}/readyz`, method: 'GET'});
      expect([health.status, ready.status]).toEqual([200, 200]);
    }
  });

  it('shows every target as usable', async () => {
    const url = `${site.entries[0]!.operatorsUrl}/status`;
    const {peers} = (await sendControl({url})) as {peers: {state: string}[]};
    expect(peers.map(({state}) => state)).toEqual(Array(4).fill('usable'));
  });
});

describe('readiness', () => {
  it('is refused by an entry without a configuration', async () => {
    const entry = await site.harness.startDaemon({
      role: 'entry',
      settings: {
        vm: 'entry-unready',
        dataCentre: 'waw',
        site: 'no-such-site',
        platformUrl: site.platform.url,
      },
    });
    const url = entry.operatorsUrl;
    const ready = await send({url: `${url}/readyz`, method: 'GET'});
    expect(ready.status).toBe(503);
    const body = JSON.stringify({model: 'quote-writer', prompt: 'x'});
    const res = await send({url: `${entry.callersUrl}/v1/completions`, body});
    expect(res.status).toBe(503);
    expect(JSON.parse(res.text)).toMatchObject({
      reason: RefusalReason.NOT_READY,
      ran: 'no',
    });
    expect(res.headers['retry-after']).toBeDefined();
    const firstUseHeaders = {
      'idempotency-key': 'k',
      'idempotency-first-use': 'true',
    };
    for (const [headers, ran] of [
      // Another entry may have run an earlier request with the key.
      [{'idempotency-key': 'k'}, 'unknown'],
      [firstUseHeaders, 'no'],
    ] as const) {
      const url = `${entry.callersUrl}/services/orders/bookings`;
      const booking = await send({url, headers, body: '{}'});
      expect(JSON.parse(booking.text)).toMatchObject({ran});
    }
    entry.proc.kill();
  });
});

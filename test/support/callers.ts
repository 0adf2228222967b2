/** Sends requests to an entry and reads the counters of the stand-ins. */
import {createParser} from 'eventsource-parser';
import {request} from 'undici';

import {ObjectKind} from '../../src/core/edges/index.js';
import {expectedOutput} from '../../stand-ins/engine/text.js';
import {DEMO_KEY} from '../../tools/lab/caller.js';
import {sendControl} from '../../tools/lab/lab.js';
import type {Site, Target} from '../../tools/lab/site.js';

/** An HTTP response with its complete body. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
}

/** One server-sent event. */
export interface ServerSentEvent {
  readonly event?: string;
  readonly id?: string;
  readonly data: string;
}

/** Totals of the stand-ins' counters. */
export interface SiteCounts {
  readonly generations: number;
  readonly tokens: number;
  readonly bookings: number;
  readonly lookups: number;
  /** Platform calls for objects of kind `claim`. */
  readonly claimCalls: number;
}

/** Sends a request as the demo client account; reads the whole response. */
export async function send(options: {
  url: string;
  method?: 'GET' | 'POST';
  headers?: Readonly<Record<string, string>>;
  body?: string;
}): Promise<HttpResponse> {
  const {url, method = 'POST', headers = {}, body} = options;
  const res = await request(url, {
    method,
    headers: {
      authorization: `Bearer ${DEMO_KEY}`,
      'content-type': 'application/json',
      ...headers,
    },
    body,
  });
  const text = await res.body.text();
  return {status: res.statusCode, headers: res.headers, text};
}

/** Parses the body of an event stream. */
export function parseEvents(text: string): ServerSentEvent[] {
  const events: ServerSentEvent[] = [];
  const parser = createParser({onEvent: (event) => events.push(event)});
  parser.feed(text);
  return events;
}

/** The complete text that an engine generates for a prompt. */
export function expectedText(prompt: string, maxTokens: number): string {
  const {tokens} = expectedOutput({prompt, maxTokens, stop: []});
  return tokens.map((token) => token.text).join('');
}

/** Sums up the counters of the site's stand-ins. */
export async function readCounts(site: Site): Promise<SiteCounts> {
  const engines = await Promise.all(site.engines.map(readTargetCounts));
  const stock = await Promise.all(site.stock.map(readTargetCounts));
  const ledger = (await sendControl({url: `${site.ledger.url}/counts`})) as {
    perKey: Array<{count: number}>;
  };
  const platform = (await sendControl({
    url: `${site.platform.url}/counts`,
  })) as {calls: Array<{kind: ObjectKind; count: number}>};
  const claims = platform.calls.filter(({kind}) => kind === ObjectKind.CLAIM);
  return {
    generations: sum(engines.map((row) => row['started'])),
    tokens: sum(engines.map((row) => row['tokensProduced'])),
    bookings: sum(ledger.perKey.map((row) => row.count)),
    lookups: sum(stock.map((row) => row['lookups'])),
    claimCalls: sum(claims.map((row) => row.count)),
  };
}

async function readTargetCounts(
  target: Target,
): Promise<Record<string, number>> {
  const url = `${target.standIn.url}/counts`;
  return (await sendControl({url})) as Record<string, number>;
}

function sum(values: ReadonlyArray<number | undefined>): number {
  return values.reduce<number>((total, value) => total + (value ?? 0), 0);
}

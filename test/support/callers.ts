/** Requests of callers to an entry, and what the stand-ins counted. */
import {createParser} from 'eventsource-parser';
import {request} from 'undici';

import {ObjectKind} from '../../src/core/edges/index.js';
import {expectedOutput} from '../../stand-ins/engine/text.js';
import {DEMO_KEY} from '../../tools/lab/caller.js';
import {sendControl} from '../../tools/lab/lab.js';
import type {Site, Target} from '../../tools/lab/site.js';

/** A response that was read whole. */
export interface Reply {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
}

/** One server-sent event. */
export interface SentEvent {
  readonly event?: string;
  readonly id?: string;
  readonly data: string;
}

/** What the stand-ins counted so far. */
export interface SiteCounts {
  readonly generations: number;
  readonly tokens: number;
  readonly bookings: number;
  readonly lookups: number;
  /** Calls to the platform about claims. */
  readonly claimCalls: number;
}

/** Sends a request as the demo client account, and reads the answer whole. */
export async function send(options: {
  url: string;
  method?: 'GET' | 'POST';
  headers?: Readonly<Record<string, string>>;
  body?: string;
}): Promise<Reply> {
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

/** Cuts the text of a stream into its events. */
export function readEvents(text: string): SentEvent[] {
  const events: SentEvent[] = [];
  const parser = createParser({onEvent: (event) => events.push(event)});
  parser.feed(text);
  return events;
}

/** The whole text that an engine gives to a prompt. */
export function expectedText(prompt: string, maxTokens: number): string {
  const {tokens} = expectedOutput({prompt, maxTokens, stop: []});
  return tokens.map((token) => token.text).join('');
}

/** Adds up what the site's stand-ins counted. */
export async function readCounts(site: Site): Promise<SiteCounts> {
  const engines = await Promise.all(site.engines.map(countsOf));
  const stock = await Promise.all(site.stock.map(countsOf));
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

async function countsOf(target: Target): Promise<Record<string, number>> {
  const url = `${target.standIn.url}/counts`;
  return (await sendControl({url})) as Record<string, number>;
}

function sum(values: ReadonlyArray<number | undefined>): number {
  return values.reduce<number>((total, value) => total + (value ?? 0), 0);
}

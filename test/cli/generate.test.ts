import type {ServerResponse} from 'node:http';

import {afterEach, describe, expect, it} from 'vitest';

import {ExitStatus} from '../../src/cli/types.js';
import type {TestServer} from './lib/http-server.js';
import {readBody, startServer, stopServer} from './lib/http-server.js';
import {runTool} from './lib/run-tool.js';

const DONE = 'data: [DONE]\n\n';

interface ReceivedRequest {
  readonly lastEventId: string | undefined;
  readonly body: string;
}

/** Responds to one request in place of an entry. */
type ResponseHandler = (res: ServerResponse) => void;

function tokenEvent(id: string, text: string, finish?: string): string {
  const choice = {text, finish_reason: finish ?? null};
  return `id: ${id}\ndata: ${JSON.stringify({choices: [choice]})}\n\n`;
}

/** Streams events, and then ends the response or breaks the connection. */
function streamEvents(
  events: readonly string[],
  breaks = false,
): ResponseHandler {
  return (res) => {
    res.writeHead(200, {'content-type': 'text/event-stream'});
    res.write(events.join(''), () =>
      breaks ? setTimeout(() => res.destroy(), 20) : res.end(),
    );
  };
}

function refuse(
  status: number,
  reason: string,
  options: {ran?: string; retryAfter?: string} = {},
): ResponseHandler {
  return (res) => {
    const {ran = 'no', retryAfter} = options;
    res.writeHead(status, {
      'content-type': 'application/problem+json',
      ...(retryAfter === undefined ? {} : {'retry-after': retryAfter}),
    });
    res.end(JSON.stringify({status, title: 't', detail: 'd', reason, ran}));
  };
}

const CASES = [
  {
    name: 'reads a complete output',
    handlers: [
      streamEvents([
        tokenEvent('1', 'one '),
        tokenEvent('2', 'two', 'stop'),
        DONE,
      ]),
    ],
    status: ExitStatus.OK,
    report: {text: 'one two', finishReason: 'stop', restarts: 0, streams: 1},
    lastEventIds: [undefined],
  },
  {
    name: 'resumes after a broken connection and after an early end',
    handlers: [
      streamEvents([tokenEvent('1', 'one ')], true),
      streamEvents([tokenEvent('2', 'two ')]),
      streamEvents([tokenEvent('3', 'three', 'length'), DONE]),
    ],
    status: ExitStatus.OK,
    report: {text: 'one two three', finishReason: 'length', streams: 3},
    lastEventIds: [undefined, '1', '2'],
  },
  {
    name: 'discards the output at a restart',
    handlers: [
      streamEvents([tokenEvent('1', 'old ')], true),
      streamEvents([
        'event: restart\nid: r\ndata: {}\n\n',
        tokenEvent('2', 'new'),
        DONE,
      ]),
    ],
    status: ExitStatus.OK,
    report: {text: 'new', restarts: 1, streams: 2},
    lastEventIds: [undefined, '1'],
  },
  {
    name: 'tries another entry when one is draining',
    handlers: [
      refuse(503, 'leaving'),
      streamEvents([tokenEvent('1', 'x'), DONE]),
    ],
    status: ExitStatus.OK,
    report: {text: 'x', streams: 2},
    lastEventIds: [undefined, undefined],
  },
  {
    name: 'does not retry after a refusal of a new request',
    handlers: [refuse(503, 'overloaded', {retryAfter: '0'})],
    status: ExitStatus.REFUSED,
    report: undefined,
    lastEventIds: [undefined],
  },
  {
    name: 'retries a started generation after a refusal',
    handlers: [
      streamEvents([tokenEvent('1', 'a')], true),
      refuse(503, 'no_target', {retryAfter: '0'}),
      streamEvents([tokenEvent('2', 'b'), DONE]),
    ],
    status: ExitStatus.OK,
    report: {text: 'ab', streams: 3},
    lastEventIds: [undefined, '1', '1'],
  },
  {
    name: 'does not retry after a refusal inside the stream',
    handlers: [
      streamEvents([
        tokenEvent('1', 'a'),
        `event: error\ndata: ${JSON.stringify({status: 422, title: 't', detail: 'd', reason: 'poison', ran: 'unknown'})}\n\n`,
      ]),
    ],
    status: ExitStatus.REFUSED,
    report: undefined,
    lastEventIds: [undefined],
  },
];

describe('generate', () => {
  const servers: TestServer[] = [];

  afterEach(async () => {
    await Promise.all(servers.splice(0).map(stopServer));
  });

  /** Starts two entries that share one list of handlers, in request order. */
  async function startEntries(
    handlers: readonly ResponseHandler[],
  ): Promise<{urls: string; requests: ReceivedRequest[]}> {
    const requests: ReceivedRequest[] = [];
    const start = (): Promise<TestServer> =>
      startServer((req, res) => {
        const lastEventId = req.headers['last-event-id'] as string | undefined;
        void readBody(req).then((body) => {
          const handler =
            handlers[requests.length] ?? refuse(400, 'bad_request');
          requests.push({lastEventId, body});
          handler(res);
        });
      });
    servers.push(await start(), await start());
    return {urls: servers.map(({url}) => url).join(','), requests};
  }

  it.each(CASES)('$name', async ({handlers, status, report, lastEventIds}) => {
    const {urls, requests} = await startEntries(handlers);
    const args = ['--key', 'k', '--model', 'm', '--prompt', 'p', '--json'];
    const result = await runTool(['generate', '--entry', urls, ...args]);
    expect(result.status).toBe(status);
    if (report !== undefined) {
      expect(JSON.parse(result.out)).toMatchObject(report);
    }
    expect(requests.map((req) => req.lastEventId)).toEqual(lastEventIds);
    expect(new Set(requests.map(({body}) => body)).size).toBe(1);
  });

  it('fails at its deadline', async () => {
    const args = ['--key', 'k', '--model', 'm', '--prompt', 'p'];
    const entry = ['--entry', 'http://127.0.0.1:1', '--deadline', '300'];
    const result = await runTool(['generate', ...entry, ...args]);
    expect(result.status).toBe(ExitStatus.FAILED);
    expect(result.err).toContain('Entry unreachable');
  });
});

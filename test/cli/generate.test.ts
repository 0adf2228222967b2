import type {ServerResponse} from 'node:http';

import {afterEach, describe, expect, it} from 'vitest';

import {ExitStatus} from '../../src/cli/types.js';
import type {TestServer} from './lib/http-server.js';
import {readBody, startServer, stopServer} from './lib/http-server.js';
import {runTool} from './lib/run-tool.js';

const DONE = 'data: [DONE]\n\n';

interface SeenRequest {
  readonly lastEventId: string | undefined;
  readonly body: string;
}

/** How an entry treats one request. */
type Play = (res: ServerResponse) => void;

function token(id: string, text: string, finish?: string): string {
  const choice = {text, finish_reason: finish ?? null};
  return `id: ${id}\ndata: ${JSON.stringify({choices: [choice]})}\n\n`;
}

/** Streams events and then ends, or breaks the connection. */
function stream(events: readonly string[], breaks = false): Play {
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
): Play {
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
    name: 'reads a whole answer',
    plays: [stream([token('1', 'one '), token('2', 'two', 'stop'), DONE])],
    status: ExitStatus.OK,
    report: {text: 'one two', finishReason: 'stop', restarts: 0, streams: 1},
    lastEventIds: [undefined],
  },
  {
    name: 'goes on after a broken connection and after an early end',
    plays: [
      stream([token('1', 'one ')], true),
      stream([token('2', 'two ')]),
      stream([token('3', 'three', 'length'), DONE]),
    ],
    status: ExitStatus.OK,
    report: {text: 'one two three', finishReason: 'length', streams: 3},
    lastEventIds: [undefined, '1', '2'],
  },
  {
    name: 'starts over on a restart',
    plays: [
      stream([token('1', 'old ')], true),
      stream(['event: restart\nid: r\ndata: {}\n\n', token('2', 'new'), DONE]),
    ],
    status: ExitStatus.OK,
    report: {text: 'new', restarts: 1, streams: 2},
    lastEventIds: [undefined, '1'],
  },
  {
    name: 'asks another entry when one is leaving',
    plays: [refuse(503, 'leaving'), stream([token('1', 'x'), DONE])],
    status: ExitStatus.OK,
    report: {text: 'x', streams: 2},
    lastEventIds: [undefined, undefined],
  },
  {
    name: 'takes a refusal of new work as final',
    plays: [refuse(503, 'overloaded', {retryAfter: '0'})],
    status: ExitStatus.REFUSED,
    report: undefined,
    lastEventIds: [undefined],
  },
  {
    name: 'comes back for a started answer',
    plays: [
      stream([token('1', 'a')], true),
      refuse(503, 'no_target', {retryAfter: '0'}),
      stream([token('2', 'b'), DONE]),
    ],
    status: ExitStatus.OK,
    report: {text: 'ab', streams: 3},
    lastEventIds: [undefined, '1', '1'],
  },
  {
    name: 'takes a refusal inside the stream as final',
    plays: [
      stream([
        token('1', 'a'),
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

  /** Starts two entries that follow one script. */
  async function startEntries(
    plays: readonly Play[],
  ): Promise<{urls: string; seen: SeenRequest[]}> {
    const seen: SeenRequest[] = [];
    const start = (): Promise<TestServer> =>
      startServer((req, res) => {
        const lastEventId = req.headers['last-event-id'] as string | undefined;
        void readBody(req).then((body) => {
          const play = plays[seen.length] ?? refuse(400, 'bad_request');
          seen.push({lastEventId, body});
          play(res);
        });
      });
    servers.push(await start(), await start());
    return {urls: servers.map(({url}) => url).join(','), seen};
  }

  it.each(CASES)('$name', async ({plays, status, report, lastEventIds}) => {
    const {urls, seen} = await startEntries(plays);
    const args = ['--key', 'k', '--model', 'm', '--prompt', 'p', '--json'];
    const run = await runTool(['generate', '--entry', urls, ...args]);
    expect(run.status).toBe(status);
    if (report !== undefined) {
      expect(JSON.parse(run.out)).toMatchObject(report);
    }
    expect(seen.map((req) => req.lastEventId)).toEqual(lastEventIds);
    expect(new Set(seen.map(({body}) => body)).size).toBe(1);
  });

  it('gives up at its deadline', async () => {
    const args = ['--key', 'k', '--model', 'm', '--prompt', 'p'];
    const entry = ['--entry', 'http://127.0.0.1:1', '--deadline', '300'];
    const run = await runTool(['generate', ...entry, ...args]);
    expect(run.status).toBe(ExitStatus.FAILED);
    expect(run.err).toContain('Entry unreachable');
  });
});

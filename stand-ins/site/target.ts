/** A target on the platform: counts what runs and fails as it is told. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

import {Header, Path} from '../../platform/names.js';

/** What a target does with its next requests. */
export enum Fault {
  NONE = 'none',
  /** Answers 500 after it ran. */
  ERROR = 'error',
  /** Says that it has no room. */
  REJECT = 'reject',
  /** Runs, then breaks the connection. */
  CUT = 'cut',
  /** Breaks off half an answer that has no length, with a reset. */
  UNFRAMED_RESET = 'unframed_reset',
  /** Answers without a length, whole. */
  UNFRAMED = 'unframed',
  /** Claims a longer body than it sends. */
  SHORT = 'short',
  /** Answers with the id of another request. */
  FOREIGN = 'foreign',
  /** Answers without proof that the answer is its own. */
  UNPROVEN = 'unproven',
  /** Answers twice on one connection. */
  TWICE = 'twice',
  /** Runs and never answers. */
  HANG = 'hang',
  /** Breaks the connections of what runs, and stays up. */
  DROP_RUNS = 'drop_runs',
}

/** A request that a target worked on. */
export interface RunRecord {
  readonly attemptId: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  /** Prompts that were read anew, as no copy was there. */
  readonly isReadAnew: boolean;
}

/** How an engine writes its streams. */
export interface StreamPace {
  readonly events: number;
  readonly firstMs: number;
  readonly gapMs: number;
}

const NO_STREAM: StreamPace = {events: 0, firstMs: 0, gapMs: 0};

/** Targets of one site; copies of runs travel between them. */
export class TargetWorld {
  readonly byAddress = new Map<string, StandInTarget>();
}

/**
 * One target on a loopback port.
 *
 * @example
 * const target = new StandInTarget({id: 'i-1', world});
 * await target.start();
 */
export class StandInTarget {
  readonly runs: RunRecord[] = [];
  /** Runs whose callers went before their end. */
  cancelled = 0;
  fault = Fault.NONE;
  /** Takes connections and bytes, and answers nothing. */
  isDark = false;
  /** Ids of copies that were freed. */
  readonly freed: string[] = [];
  /** Ids of runs of which a copy is kept here. */
  readonly copies = new Set<string>();
  readonly id: string;
  private readonly pace: StreamPace;
  private readonly world: TargetWorld;
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;
  private address = '';

  constructor(options: {id: string; world: TargetWorld; pace?: StreamPace}) {
    this.id = options.id;
    this.world = options.world;
    this.pace = options.pace ?? NO_STREAM;
    this.server = createServer((req, res) => void this.serve(req, res));
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    const {port} = this.server.address() as AddressInfo;
    this.address = `127.0.0.1:${port}`;
    this.world.byAddress.set(this.address, this);
  }

  /** What the target says of itself in the store. */
  registration(options: {service: string; zone: string; state?: string}) {
    return {
      ...options,
      address: this.address,
      state: options.state ?? 'ready',
      version: 'v1',
      slots: 8,
      warmup_left_ms: 0,
      sequence: 1,
      born: 1_000,
    };
  }

  /** Dies: connections break and new ones are refused. */
  crash(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private async serve(req: IncomingMessage, res: ServerResponse) {
    const body = await readText(req);
    if (this.isDark) return;
    if (req.url === (Path.REPORT as string)) {
      res.end(JSON.stringify({active: 0, queued: 0, kv_used: 0}));
      return;
    }
    if (req.url === (Path.COPY_RUN as string)) {
      this.copyRun(res, body);
      return;
    }
    if (req.url?.startsWith(Path.COPIES) === true) {
      this.freed.push(req.url.slice(Path.COPIES.length + 1));
      res.end();
      return;
    }
    const expected = req.headers[Header.EXPECTED_TARGET];
    if (expected !== undefined && expected !== this.id) {
      res.writeHead(421, {'Instance-Id': this.id}).end();
      return;
    }
    if (this.fault === Fault.REJECT) {
      res.writeHead(503, {'Not-Executed': '1'}).end();
      return;
    }
    if (this.pace.events > 0) this.stream(req, res, body);
    else this.answer(req, res, body);
  }

  private copyRun(res: ServerResponse, body: string): void {
    const {id, target} = JSON.parse(body) as {id: string; target: string};
    const holder = this.world.byAddress.get(target);
    if (holder === undefined || holder.isDark) {
      res.writeHead(503).end('{}');
      return;
    }
    const handle = `copy-of-${id}`;
    holder.copies.add(handle);
    res.end(JSON.stringify({handle, created: 1}));
  }

  private note(req: IncomingMessage, body: string, isReadAnew: boolean): void {
    const attemptId = String(req.headers[Header.ATTEMPT_ID] ?? '');
    this.runs.push({attemptId, headers: req.headers, body, isReadAnew});
  }

  private answer(req: IncomingMessage, res: ServerResponse, body: string) {
    this.note(req, body, true);
    const attemptId = String(req.headers[Header.ATTEMPT_ID] ?? '');
    const text = `answer to ${attemptId}`;
    const head = `Attempt-Id: ${attemptId}\r\nServer-Stamp: s-${this.id}\r\n`;
    const {socket} = req;
    const sized = (id: string) =>
      `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Stamp: s\r\n` +
      `Content-Length: ${text.length}\r\n\r\n${text}`;
    switch (this.fault) {
      case Fault.ERROR:
        res.writeHead(500, {
          [Header.ATTEMPT_ID]: attemptId,
          'Server-Stamp': 's',
        });
        res.end('failed');
        break;
      case Fault.CUT:
        socket.destroy();
        break;
      case Fault.UNFRAMED_RESET:
        socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n${text.slice(0, 5)}`, () =>
          setTimeout(() => socket.resetAndDestroy(), 10),
        );
        break;
      case Fault.UNFRAMED:
        socket.end(`HTTP/1.1 200 OK\r\n${head}\r\n${text}`);
        break;
      case Fault.SHORT:
        socket.end(
          `HTTP/1.1 200 OK\r\n${head}Content-Length: 900\r\n\r\n${text}`,
        );
        break;
      case Fault.FOREIGN:
        socket.write(sized('another'));
        break;
      case Fault.UNPROVEN:
        res.writeHead(200, {[Header.ATTEMPT_ID]: attemptId});
        res.end(text);
        break;
      case Fault.TWICE:
        socket.write(sized(attemptId));
        setTimeout(() => socket.write(sized(attemptId)), 20);
        break;
      case Fault.HANG:
        break;
      default:
        res.writeHead(200, {
          'Attempt-Id': attemptId,
          'Server-Stamp': `s-${this.id}`,
        });
        res.end(text);
    }
  }

  private stream(req: IncomingMessage, res: ServerResponse, body: string) {
    const attemptId = String(req.headers[Header.ATTEMPT_ID] ?? '');
    const copyFrom = req.headers[Header.COPY_FROM];
    const usesCopy = copyFrom !== undefined;
    const copyId = String(copyFrom).split('/').at(-1) ?? '';
    if (usesCopy && !this.copies.has(copyId)) {
      res.writeHead(503, {'Not-Executed': '1'}).end();
      return;
    }
    this.note(req, body, !usesCopy);
    if (this.fault === Fault.DROP_RUNS) {
      req.socket.destroy();
      return;
    }
    const copyTo = req.headers[Header.COPY_TO];
    let next = Number(req.headers[Header.LAST_EVENT_ID] ?? 0) + 1;
    let timer: NodeJS.Timeout | undefined;
    res.on('close', () => {
      clearTimeout(timer);
      if (!res.writableFinished) this.cancelled++;
    });
    const step = () => {
      if (this.isDark) return;
      if (next === 1 || !res.headersSent) {
        res.writeHead(200, {
          'Attempt-Id': attemptId,
          'Server-Stamp': `s-${this.id}`,
          'Content-Type': 'text/event-stream',
        });
      }
      res.write(`id: ${next}\ndata: piece ${next} of ${attemptId}\n\n`);
      this.world.byAddress.get(String(copyTo))?.copies.add(attemptId);
      if (next++ >= this.pace.events) res.end();
      else timer = setTimeout(step, this.pace.gapMs);
    };
    timer = setTimeout(step, usesCopy ? 1 : this.pace.firstMs);
  }
}

async function readText(req: IncomingMessage): Promise<string> {
  let text = '';
  for await (const chunk of req) text += String(chunk);
  return text;
}

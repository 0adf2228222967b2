/** A target on the platform: counts what runs and fails as it is told. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

import {request} from 'undici';

import {Header, Path} from '../../platform/names.js';
import {
  sendResponse,
  TargetFault,
  isEndless,
  sendEndlessResponse,
} from './target-fault.js';

/** Longest wait for a target that takes a copy, in milliseconds. */
const COPY_TIMEOUT_MS = 1_000;

/** A request that a target worked on. */
export interface RunRecord {
  readonly attemptId: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  /** Prompts that were read anew, as no copy was there. */
  readonly hasFullPrefill: boolean;
  /** On the clock of the process, in milliseconds. */
  readonly atMs: number;
}

/** How an engine writes its streams. */
export interface StreamPace {
  readonly events: number;
  readonly firstMs: number;
  readonly gapMs: number;
}

/** Header in which callers repeat the key that they use, for checks. */
export const KEY_HEADER = 'used-key';

/** Which requests end the target that runs them. */
export interface CrashTrigger {
  /** Part of their bodies. */
  readonly marker: string;
  /** Events of a stream that are written before; a call writes nothing. */
  readonly afterEvents: number;
}

/** A time at which a target was ended by a request. */
export interface CrashRecord {
  readonly attemptId: string;
  readonly body: string;
  readonly atMs: number;
}

const DEFAULT_BORN_MS = 1_000;

const NO_STREAM: StreamPace = {events: 0, firstMs: 0, gapMs: 0};

const HEALTH_PATH = '/healthz';

/** Path at which a target of another process takes a copy of a run. */
const TAKE_COPY = '/stand-in/copies';

/** How a target hands copies of its runs to other targets. */
export interface CopyNetwork {
  /** Tells whether the target at an address now holds the copy. */
  storeCopy(address: string, copyId: string): Promise<boolean>;
}

/** Targets of one process; copies of runs travel between them. */
export class LocalCopyNetwork implements CopyNetwork {
  readonly targetsByAddress = new Map<string, StandInTarget>();

  storeCopy(address: string, copyId: string): Promise<boolean> {
    const holder = this.targetsByAddress.get(address);
    if (holder === undefined || holder.isUnresponsive)
      return Promise.resolve(false);
    holder.copies.add(copyId);
    return Promise.resolve(true);
  }
}

/** Hands copies to targets of other processes. */
export class RemoteCopyNetwork implements CopyNetwork {
  async storeCopy(address: string, copyId: string): Promise<boolean> {
    const url = `http://${address}${TAKE_COPY}/${copyId}`;
    const options = {method: 'PUT', headersTimeout: COPY_TIMEOUT_MS} as const;
    try {
      const {statusCode, body} = await request(url, options);
      await body.dump();
      return statusCode === 200;
    } catch {
      // The other target cannot be reached, so it holds nothing.
      return false;
    }
  }
}

/**
 * What a target at an address says of itself in the store.
 *
 * @example
 * const spec = registrationOf({service: 'desk', zone: 'a', address});
 */
export function registrationOf(options: {
  service: string;
  zone: string;
  address: string;
  state?: string;
  /** Start of the target, as a Unix time in milliseconds. */
  bornMs?: number;
}) {
  const {service, zone, address, state = 'ready'} = options;
  const {bornMs = DEFAULT_BORN_MS} = options;
  return {
    service,
    zone,
    address,
    state,
    version: 'v1',
    slots: 8,
    warmup_left_ms: 0,
    sequence: 1,
    born: bornMs,
  };
}

/** Told of what a target does. */
export interface TargetObserver {
  /** A request arrived; `hasRun` is false where it was rejected. */
  onArrived(arrival: {attemptId: string; hasRun: boolean; key: string}): void;
  /** Work on a request has ended, for whatever reason. */
  onEnded(attemptId: string): void;
}

const NO_OBSERVER: TargetObserver = {
  onArrived: () => undefined,
  onEnded: () => undefined,
};

/**
 * One target on a loopback port.
 *
 * @example
 * const target = new StandInTarget({id: 'i-1', copyNetwork});
 * await target.start();
 */
export class StandInTarget {
  readonly runs: RunRecord[] = [];
  /** Runs whose callers went before their end. */
  cancelled = 0;
  fault = TargetFault.NONE;
  /** Start of its life, as it tells of it. */
  bornMs = DEFAULT_BORN_MS;
  /** Takes connections and bytes, and answers nothing. */
  isUnresponsive = false;
  /** Requests that end this target. */
  crashOn?: CrashTrigger;
  /** Times at which a request ended this target, over all its lives. */
  readonly crashes: CrashRecord[] = [];
  /** Told when a request has ended the target. */
  onCrash: () => void = () => undefined;
  /** Bytes that were sent of answers without end. */
  endlessBytes = 0;
  /** Ids of copies that were freed. */
  readonly releasedCopies: string[] = [];
  /** Ids of runs of which a copy is kept here. */
  readonly copies = new Set<string>();
  readonly id: string;
  private readonly pace: StreamPace;
  private readonly workMs: number;
  private readonly copyNetwork: CopyNetwork;
  private readonly observer: TargetObserver;
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;
  private address = '';

  constructor(options: {
    id: string;
    copyNetwork: CopyNetwork;
    pace?: StreamPace;
    /** Time for a plain answer. */
    workMs?: number;
    observer?: TargetObserver;
  }) {
    this.id = options.id;
    this.copyNetwork = options.copyNetwork;
    this.pace = options.pace ?? NO_STREAM;
    this.workMs = options.workMs ?? 0;
    this.observer = options.observer ?? NO_OBSERVER;
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
  }

  /** Starts anew where it was, knowing nothing of its earlier life. */
  async restart(): Promise<void> {
    if (this.server.listening) return;
    this.bornMs++;
    this.copies.clear();
    const port = Number(this.address.split(':').at(-1));
    await new Promise<void>((resolve) => {
      this.server.listen(port, '127.0.0.1', resolve);
    });
  }

  /** Where the target listens, as HOST:PORT. */
  get listenAddress(): string {
    return this.address;
  }

  /** What the target says of itself in the store. */
  registration(options: {service: string; zone: string; state?: string}) {
    const {address, bornMs} = this;
    return registrationOf({...options, address, bornMs});
  }

  /** Dies: connections break and new ones are refused. */
  crash(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private async serve(req: IncomingMessage, res: ServerResponse) {
    const body = await readText(req);
    if (this.isUnresponsive) return;
    if (req.url === (Path.REPORT as string)) {
      const {bornMs: born} = this;
      res.end(JSON.stringify({active: 0, queued: 0, kv_used: 0, born}));
      return;
    }
    if (req.url === HEALTH_PATH) {
      res.writeHead(200, {'Instance-Id': this.id}).end();
      return;
    }
    if (req.url === (Path.COPY_RUN as string)) {
      await this.copyRun(res, body);
      return;
    }
    if (req.url?.startsWith(TAKE_COPY) === true) {
      this.copies.add(req.url.slice(TAKE_COPY.length + 1));
      res.end();
      return;
    }
    if (req.url?.startsWith(Path.COPIES) === true) {
      this.releasedCopies.push(req.url.slice(Path.COPIES.length + 1));
      res.end();
      return;
    }
    const expected = req.headers[Header.EXPECTED_TARGET];
    if (expected !== undefined && expected !== this.id) {
      res.writeHead(421, {'Instance-Id': this.id}).end();
      return;
    }
    if (isEndless(this.fault)) {
      this.note({req, res, body, isReadAnew: true});
      sendEndlessResponse({
        req,
        fault: this.fault,
        onBytes: (n) => (this.endlessBytes += n),
      });
      return;
    }
    if (this.fault === TargetFault.REJECT) {
      this.reject(req, res);
      return;
    }
    if (this.pace.events > 0) this.stream(req, res, body);
    else this.answer(req, res, body);
  }

  private isEndedBy(body: string): boolean {
    return this.crashOn !== undefined && body.includes(this.crashOn.marker);
  }

  private crashUnder(req: IncomingMessage, body: string): void {
    if (!this.server.listening) return;
    const {attemptId} = arrivalOf(req);
    this.crashes.push({attemptId, body, atMs: performance.now()});
    this.crash();
    this.onCrash();
  }

  private async copyRun(res: ServerResponse, body: string): Promise<void> {
    const {id, target} = JSON.parse(body) as {id: string; target: string};
    const handle = `copy-of-${id}`;
    const isHeld = await this.copyNetwork.storeCopy(target, handle);
    if (isHeld) res.end(JSON.stringify({handle, created: 1}));
    else res.writeHead(503).end('{}');
  }

  private reject(req: IncomingMessage, res: ServerResponse): void {
    this.observer.onArrived({...arrivalOf(req), hasRun: false});
    res.writeHead(503, {'Not-Executed': '1'}).end();
  }

  private note(options: {
    req: IncomingMessage;
    res: ServerResponse;
    body: string;
    isReadAnew: boolean;
  }): void {
    const {req, res, body, isReadAnew} = options;
    const {attemptId, key} = arrivalOf(req);
    const {headers} = req;
    const atMs = performance.now();
    this.runs.push({
      attemptId,
      headers,
      body,
      hasFullPrefill: isReadAnew,
      atMs,
    });
    this.observer.onArrived({attemptId, key, hasRun: true});
    res.on('close', () => this.observer.onEnded(attemptId));
  }

  private answer(req: IncomingMessage, res: ServerResponse, body: string) {
    this.note({req, res, body, isReadAnew: true});
    setTimeout(() => {
      if (this.isEndedBy(body)) this.crashUnder(req, body);
      else sendResponse({req, res, fault: this.fault, id: this.id});
    }, this.workMs);
  }

  private stream(req: IncomingMessage, res: ServerResponse, body: string) {
    const attemptId = String(req.headers[Header.ATTEMPT_ID] ?? '');
    const copyFrom = req.headers[Header.COPY_FROM];
    const usesCopy = copyFrom !== undefined;
    const copyId = String(copyFrom).split('/').at(-1) ?? '';
    if (usesCopy && !this.copies.delete(copyId)) {
      this.reject(req, res);
      return;
    }
    this.note({req, res, body, isReadAnew: !usesCopy});
    if (this.fault === TargetFault.DROP_STREAMS) {
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
    let written = 0;
    const step = () => {
      if (this.isUnresponsive) return;
      if (this.isEndedBy(body) && written >= this.crashOn!.afterEvents) {
        this.crashUnder(req, body);
        return;
      }
      written++;
      if (next === 1 || !res.headersSent) {
        res.writeHead(200, {
          'Attempt-Id': attemptId,
          'Server-Stamp': `s-${this.id}`,
          'Content-Type': 'text/event-stream',
        });
      }
      res.write(`id: ${next}\ndata: piece ${next} of ${attemptId}\n\n`);
      if (typeof copyTo === 'string') {
        void this.copyNetwork.storeCopy(copyTo, attemptId);
      }
      if (next++ >= this.pace.events) res.end();
      else timer = setTimeout(step, this.pace.gapMs);
    };
    timer = setTimeout(step, usesCopy ? 1 : this.pace.firstMs);
  }
}

function arrivalOf(req: IncomingMessage): {attemptId: string; key: string} {
  const attemptId = String(req.headers[Header.ATTEMPT_ID] ?? '');
  return {attemptId, key: String(req.headers[KEY_HEADER] ?? '')};
}

async function readText(req: IncomingMessage): Promise<string> {
  let text = '';
  for await (const chunk of req) text += String(chunk);
  return text;
}

/** Stand-in of a target on the platform, with run records and faults. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

import {Header, Path} from '../../platform/names.js';
import {sendCloseDelimited} from './close-delimited-stream.js';
import type {CopyNetwork} from './copy-network.js';
import {COPIES_PATH} from './copy-network.js';
import {registrationOf} from './registration.js';
import type {EarlyResponse} from './early-response.js';
import {sendEarlyResponse} from './early-response.js';
import {isEndless, sendEndlessResponse} from './endless-response.js';
import {
  EVENTS_BEFORE_DRIP,
  sendResponse,
  TargetFault,
  allowsStreams,
  encodeRejection,
  repeatsRejections,
} from './target-fault.js';
import {TargetState} from './target-state.js';
import {arrivalOf, encodeEvent, isOfCaller, readText} from './target-wire.js';
import type {StreamPace, TargetObserver} from './target-types.js';

const NO_STREAM: StreamPace = {events: 0, firstMs: 0, gapMs: 0};

const HEALTH_PATH = '/healthz';

const NO_OBSERVER: TargetObserver = {
  onArrived: () => undefined,
  onEnded: () => undefined,
};

/** Part of the response to a plain call. */
const EARLY_PART = 'answ';

/**
 * A target on a loopback port.
 *
 * @example
 * const target = new StandInTarget({id: 'i-1', copyNetwork});
 * await target.start();
 */
export class StandInTarget extends TargetState {
  /** Attempt ids of the streams in prefill. */
  private readonly prefilling = new Set<string>();
  /** Attempt ids of the streams that have sent events. */
  private readonly generating = new Set<string>();
  private runningCalls = 0;
  readonly id: string;
  /** Version of its software. */
  readonly version?: string;
  private readonly pace: StreamPace;
  private readonly workMs: number;
  private readonly bodyBytes: number;
  private readonly copyNetwork: CopyNetwork;
  private readonly observer: TargetObserver;
  private readonly sockets = new Set<Socket>();
  /** Rejections that are sent once more, by connection. */
  private readonly rejections = new WeakMap<Socket, string>();
  private readonly server: Server;
  private address = '';

  constructor(options: {
    id: string;
    copyNetwork: CopyNetwork;
    /** Makes it respond with streams; plain responses by default. */
    pace?: StreamPace;
    /** Duration of a plain call, in milliseconds; 0 by default. */
    workMs?: number;
    /** Version of its software. */
    version?: string;
    /** Smallest size of the body of a plain response, in bytes; 0 by default. */
    bodyBytes?: number;
    observer?: TargetObserver;
  }) {
    super();
    this.id = options.id;
    this.version = options.version;
    this.copyNetwork = options.copyNetwork;
    this.pace = options.pace ?? NO_STREAM;
    this.workMs = options.workMs ?? 0;
    this.bodyBytes = options.bodyBytes ?? 0;
    this.observer = options.observer ?? NO_OBSERVER;
    this.server = createServer((req, res) => void this.serve(req, res));
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  /** Listens on a port; on a free one by default. */
  async start(listenPort = 0): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(listenPort, '127.0.0.1', resolve);
    });
    const {port} = this.server.address() as AddressInfo;
    this.address = `127.0.0.1:${port}`;
  }

  /** Restarts on the same port as a new incarnation without stored copies. */
  async restart(): Promise<void> {
    if (this.server.listening) return;
    this.bornMs++;
    this.copies.clear();
    const port = Number(this.address.split(':').at(-1));
    await new Promise<void>((resolve) => {
      this.server.listen(port, '127.0.0.1', resolve);
    });
  }

  /** Listening address as HOST:PORT. */
  get listenAddress(): string {
    return this.address;
  }

  /** Returns the registration of this target in the store. */
  registration(options: {service: string; zone: string; state?: string}) {
    const {address, bornMs, version} = this;
    return registrationOf({...options, address, bornMs, version});
  }

  /** Closes all connections and refuses new ones. */
  crash(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private report() {
    const {bornMs, prefilling, generating} = this;
    return {
      active: prefilling.size + generating.size,
      queued: 0,
      kv_used: this.room.takenTokens,
      born: bornMs,
      runs: [...generating].map((attemptId) => [attemptId, 0, 0, 0]),
    };
  }

  private async serve(req: IncomingMessage, res: ServerResponse) {
    if (this.earlyResponse !== undefined && isOfCaller(req)) {
      this.respondEarly(req, res, this.earlyResponse);
      return;
    }
    const body = await readText(req).catch(() => undefined);
    // The sender closed the connection before the end of the body.
    if (body === undefined) return;
    const isReport = req.url === (Path.REPORT as string);
    const tellsLeaving = isReport ? this.reportsLeaving : this.isLeaving;
    if (tellsLeaving) res.setHeader('Server-Leaving', '1');
    if (this.limitPerSecond !== undefined)
      res.setHeader('Server-Limit', String(this.limitPerSecond));
    if (!isReport) this.arrivedAtMs.push(performance.now());
    if (this.isUnresponsive) return;
    if (isReport) {
      res.end(JSON.stringify(this.report()));
      return;
    }
    if (req.url === HEALTH_PATH) {
      res.writeHead(200, {'Instance-Id': this.id}).end();
      return;
    }
    if (this.room.serve(req, res, body)) return;
    if (req.url === (Path.COPY_KV_CACHE as string)) {
      await this.copyKvCache(res, body);
      return;
    }
    if (req.url?.startsWith(COPIES_PATH) === true) {
      this.copies.add(req.url.slice(COPIES_PATH.length + 1));
      res.end();
      return;
    }
    if (req.url?.startsWith(Path.KV_COPIES) === true) {
      this.releasedCopies.push(req.url.slice(Path.KV_COPIES.length + 1));
      res.end();
      return;
    }
    const expected = req.headers[Header.EXPECTED_TARGET];
    if (expected !== undefined && expected !== this.id) {
      res.writeHead(421, {'Instance-Id': this.id}).end();
      return;
    }
    if (isEndless(this.fault)) {
      this.recordRun({req, res, body, hasFullPrefill: true});
      this.storeCopyFor(req);
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
    if (repeatsRejections(this.fault)) {
      this.repeatRejection(req, res, body);
      return;
    }
    const isStream = this.pace.events > 0 && allowsStreams(this.fault);
    if (isStream) this.stream(req, res, body);
    else this.respond(req, res, body);
  }

  private respondEarly(
    req: IncomingMessage,
    res: ServerResponse,
    kind: EarlyResponse,
  ): void {
    this.recordRun({req, res, body: '', hasFullPrefill: true});
    const {attemptId} = arrivalOf(req);
    const body = this.pace.events > 0 ? encodeEvent(1, attemptId) : EARLY_PART;
    sendEarlyResponse({req, kind, targetId: this.id, body});
  }

  private drips(written: number): boolean {
    return (
      this.fault === TargetFault.DRIP_STREAMS && written >= EVENTS_BEFORE_DRIP
    );
  }

  private triggersCrash(body: string): boolean {
    return this.crashOn !== undefined && body.includes(this.crashOn.marker);
  }

  private crashOnRequest(req: IncomingMessage, body: string): void {
    if (!this.server.listening) return;
    const {attemptId} = arrivalOf(req);
    this.crashes.push({attemptId, body, atMs: performance.now()});
    this.crash();
    this.onCrash();
  }

  private async copyKvCache(res: ServerResponse, body: string): Promise<void> {
    const {id, target} = JSON.parse(body) as {id: string; target: string};
    const handle = `copy-of-${id}`;
    const isStored = await this.copyNetwork.storeCopy(target, handle);
    if (isStored) res.end(JSON.stringify({handle, created: 1}));
    else res.writeHead(503).end('{}');
  }

  /** Stores a copy of the KV cache where the request asks for it. */
  private storeCopyFor(req: IncomingMessage): void {
    const copyTo = req.headers[Header.KV_COPY_TO];
    if (typeof copyTo !== 'string') return;
    void this.copyNetwork.storeCopy(copyTo, arrivalOf(req).attemptId);
  }

  private reject(req: IncomingMessage, res: ServerResponse): void {
    const {attemptId} = arrivalOf(req);
    this.rejectedAtMs.push(performance.now());
    this.observer.onArrived({...arrivalOf(req), hasRun: false});
    if (this.retryAfterS !== undefined)
      res.setHeader('Retry-After', String(this.retryAfterS));
    res.writeHead(503, {'Attempt-Id': attemptId, 'Not-Executed': '1'}).end();
  }

  private repeatRejection(
    req: IncomingMessage,
    res: ServerResponse,
    body: string,
  ): void {
    const {attemptId, key} = arrivalOf(req);
    const earlier = this.rejections.get(req.socket);
    if (earlier !== undefined) {
      this.recordRun({req, res, body, hasFullPrefill: true});
      req.socket.write(earlier);
      return;
    }
    const isAnonymous = this.fault === TargetFault.REPEAT_ANONYMOUS_REJECTION;
    const rejection = encodeRejection(isAnonymous ? undefined : attemptId);
    this.rejections.set(req.socket, rejection);
    this.observer.onArrived({attemptId, key, hasRun: false});
    req.socket.write(rejection);
  }

  private recordRun(options: {
    req: IncomingMessage;
    res: ServerResponse;
    body: string;
    hasFullPrefill: boolean;
  }): void {
    const {req, res, body, hasFullPrefill} = options;
    const {attemptId, key} = arrivalOf(req);
    const {headers} = req;
    const atMs = performance.now();
    this.runs.push({
      attemptId,
      headers,
      body,
      hasFullPrefill,
      atMs,
    });
    this.observer.onArrived({attemptId, key, hasRun: true});
    this.room.use(req, res);
    res.on('close', () => this.observer.onEnded(attemptId));
  }

  private respond(req: IncomingMessage, res: ServerResponse, body: string) {
    if (this.slots !== undefined && this.runningCalls >= this.slots) {
      this.reject(req, res);
      return;
    }
    this.recordRun({req, res, body, hasFullPrefill: true});
    this.runningCalls++;
    setTimeout(() => {
      this.runningCalls--;
      if (this.slots !== undefined) {
        const load = `${this.runningCalls},0,${this.slots},100`;
        res.setHeader('Instance-Load', load);
      }
      if (this.triggersCrash(body)) this.crashOnRequest(req, body);
      else {
        const {bodyBytes} = this;
        const fault = this.drawFault();
        sendResponse({...this, bodyBytes, fault, req, res});
      }
    }, this.workMs + this.extraWorkMs);
  }

  private drawFault(): TargetFault {
    const fails = Math.random() < this.failureShare;
    return fails ? TargetFault.ERROR : this.fault;
  }

  private eventsFrom(first: number, attemptId: string): string[] {
    const count = Math.max(0, this.pace.events + 1 - first);
    return Array.from({length: count}, (_, i) =>
      encodeEvent(first + i, attemptId),
    );
  }

  private stream(req: IncomingMessage, res: ServerResponse, body: string) {
    const attemptId = String(req.headers[Header.ATTEMPT_ID] ?? '');
    const copyFrom = req.headers[Header.KV_COPY_FROM];
    const usesCopy = copyFrom !== undefined;
    const copyId = String(copyFrom).split('/').at(-1) ?? '';
    if (usesCopy && !this.copies.delete(copyId)) {
      this.reject(req, res);
      return;
    }
    this.recordRun({req, res, body, hasFullPrefill: !usesCopy});
    if (this.fault === TargetFault.DROP_STREAMS) {
      req.socket.destroy();
      return;
    }
    let next = Number(req.headers[Header.LAST_EVENT_ID] ?? 0) + 1;
    const end = this.closeDelimitedEnds.shift();
    if (end !== undefined) {
      const events = this.eventsFrom(next, attemptId);
      const {socket} = req;
      sendCloseDelimited({socket, attemptId, targetId: this.id, events, end});
      return;
    }
    let timer: NodeJS.Timeout | undefined;
    this.prefilling.add(attemptId);
    res.on('close', () => {
      clearTimeout(timer);
      this.prefilling.delete(attemptId);
      this.generating.delete(attemptId);
      if (!res.writableFinished) this.cancelled++;
    });
    let written = 0;
    let hasDripped = false;
    const writeEvent = () => {
      if (this.isUnresponsive) return;
      if (this.triggersCrash(body) && written >= this.crashOn!.afterEvents) {
        this.crashOnRequest(req, body);
        return;
      }
      this.prefilling.delete(attemptId);
      if (this.fault === TargetFault.LOSE_STREAMS) return;
      if (this.drips(written)) {
        res.write(':');
        hasDripped = true;
        timer = setTimeout(writeEvent, this.pace.gapMs);
        return;
      }
      this.generating.add(attemptId);
      written++;
      if (next === 1 || !res.headersSent) {
        res.writeHead(200, {
          'Attempt-Id': attemptId,
          'Server-Stamp': `s-${this.id}`,
          'Content-Type': 'text/event-stream',
        });
      }
      // Ends the comment that the dripped bytes are.
      if (hasDripped) res.write('\n');
      hasDripped = false;
      const {paddingBytes = 0, maxUnreadMs, gapMs, events} = this.pace;
      const padding = paddingBytes > 0 ? `:${'x'.repeat(paddingBytes)}\n` : '';
      const isRead = res.write(padding + encodeEvent(next, attemptId));
      this.storeCopyFor(req);
      if (next++ >= events) res.end();
      else if (isRead || maxUnreadMs === undefined)
        timer = setTimeout(writeEvent, gapMs);
      else awaitReader(maxUnreadMs);
    };
    const awaitReader = (maxUnreadMs: number) => {
      timer = setTimeout(() => {
        this.cutUnread++;
        req.socket.resetAndDestroy();
      }, maxUnreadMs);
      res.once('drain', () => {
        clearTimeout(timer);
        writeEvent();
      });
    };
    timer = setTimeout(writeEvent, usesCopy ? 1 : this.pace.firstMs);
  }
}

/** The platform's store, as an entry sees it: objects, waits, faults. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

import {Path} from '../../platform/names.js';
import type {RunningServer} from '../lib/http-server.js';
import {readJson, startServer} from '../lib/http-server.js';

/** How the store answers. */
export enum StoreMode {
  UP = 'up',
  /** Refuses each call. */
  BUSY = 'busy',
  /** Takes calls and never answers. */
  SILENT = 'silent',
  /** Resets each connection. */
  RESET = 'reset',
}

/** An address of the store, with troubles of its own. */
export interface StoreEndpoint {
  readonly url: string;
  mode: StoreMode;
  /** Time by which each answer is late, in milliseconds. */
  delayMs: number;
}

interface StoredChange {
  readonly revision: number;
  readonly kind: string;
  readonly name: string;
  readonly spec?: unknown;
}

interface Waiter {
  readonly kind: string;
  readonly since: number;
  answer(): void;
}

/** One call, with the kind and the name in its path. */
interface StoreCall {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly kind: string;
  readonly name: string;
  readonly query: URLSearchParams;
  readonly door: StoreEndpoint;
}

const FIRST_REVISION = 100;

/** Segments of a path before the kind. */
const KIND_SEGMENT = Path.OBJECTS.split('/').length - 1;

/**
 * Holds objects in memory. Waiting calls end at the first change.
 *
 * @example
 * const store = new StandInStore();
 * await store.start();
 * store.put({kind: 'config', name: 'main', spec});
 */
export class StandInStore {
  /** Holds at all addresses; a door's own mode holds besides. */
  mode = StoreMode.UP;
  /** Time by which each answer is late, in milliseconds. */
  delayMs = 0;
  /** Calls that were answered, refused or left waiting. */
  calls = 0;
  private revision = FIRST_REVISION;
  private oldestRevision = FIRST_REVISION;
  private readonly objects = new Map<string, StoredChange>();
  private readonly changes: StoredChange[] = [];
  private readonly waiters = new Set<Waiter>();
  private readonly servers: RunningServer[] = [];

  async start(): Promise<void> {
    await this.openEndpoint();
  }

  /** Opens another address, at which some callers can be turned away. */
  async openEndpoint(): Promise<StoreEndpoint> {
    const server = await startServer({
      address: '127.0.0.1',
      port: 0,
      handle: async ({req, res, segments, query}) => {
        const [kind = '', name = ''] = segments.slice(KIND_SEGMENT);
        await sleep(this.delayMs + door.delayMs);
        await this.handle({req, res, kind, name, query, door});
      },
    });
    const door = {url: server.url, mode: StoreMode.UP, delayMs: 0};
    this.servers.push(server);
    return door;
  }

  get url(): string {
    return this.servers[0]!.url;
  }

  async stop(): Promise<void> {
    for (const server of this.servers) await server.close();
  }

  put(options: {kind: string; name: string; spec: unknown}): void {
    this.change(options);
  }

  remove(options: {kind: string; name: string}): void {
    this.change({...options, spec: undefined});
  }

  /** Forgets which changes led to the present state. */
  dropHistory(): void {
    this.oldestRevision = this.revision;
    this.changes.length = 0;
  }

  /** Ends all waiting calls as a fault of the store would. */
  endLongPolls(): void {
    for (const waiter of [...this.waiters]) waiter.answer();
  }

  private change(options: {kind: string; name: string; spec?: unknown}): void {
    const {kind, name} = options;
    this.revision++;
    const change = {...options, revision: this.revision};
    this.changes.push(change);
    if (options.spec === undefined) this.objects.delete(`${kind}/${name}`);
    else this.objects.set(`${kind}/${name}`, change);
    for (const waiter of [...this.waiters]) {
      if (waiter.kind === kind) waiter.answer();
    }
  }

  /** Names of the objects of a kind. */
  namesOf(kind: string): string[] {
    return [...this.objects.values()]
      .filter((object) => object.kind === kind)
      .map(({name}) => name);
  }

  private async handle(call: StoreCall): Promise<void> {
    const {req, res, kind, query} = call;
    this.calls++;
    const mode = this.modeAt(call.door);
    if (mode === StoreMode.SILENT) return;
    if (mode === StoreMode.RESET) {
      req.socket.resetAndDestroy();
      return;
    }
    if (mode === StoreMode.BUSY || !req.url?.startsWith(Path.OBJECTS)) {
      reply(res, 503, {});
      return;
    }
    if (req.method !== 'GET') {
      await this.write(call);
      return;
    }
    const watch = query.get('watch');
    if (watch === null) this.list(res, kind);
    else this.wait(call);
  }

  private modeAt(door: StoreEndpoint): StoreMode {
    return this.mode === StoreMode.UP ? door.mode : this.mode;
  }

  private async write({req, res, kind, name}: StoreCall): Promise<void> {
    if (req.method === 'DELETE') {
      this.remove({kind, name});
      reply(res, 200, {});
      return;
    }
    const object = (await readJson({req})) as {
      metadata: {name: string};
      spec: unknown;
    };
    const {metadata, spec} = object;
    const isKnown = this.objects.has(`${kind}/${metadata.name}`);
    const isWanted = req.method === 'PUT';
    if (isKnown !== isWanted) {
      reply(res, isWanted ? 404 : 409, {});
      return;
    }
    this.put({kind, name: metadata.name, spec});
    reply(res, 201, {});
  }

  private list(res: ServerResponse, kind: string): void {
    const entries = [...this.objects.values()]
      .filter((object) => object.kind === kind)
      .map(toEntry);
    reply(res, 200, {entries, has_more: false, at: this.revision});
  }

  private wait({res, kind, query, door}: StoreCall): void {
    const since = Number(query.get('watch'));
    if (since < this.oldestRevision) {
      reply(res, 410, {});
      return;
    }
    const answer = () => {
      clearTimeout(timer);
      this.waiters.delete(waiter);
      if (this.modeAt(door) === StoreMode.SILENT) return;
      const events = this.changes
        .filter((change) => change.kind === kind && change.revision > since)
        .map((change) => ({
          object: toEntry(change),
          deleted: change.spec === undefined,
        }));
      reply(res, 200, {events, at: this.revision});
    };
    const timer = setTimeout(answer, Number(query.get('wait_ms')));
    const waiter = {kind, since, answer};
    this.waiters.add(waiter);
    const hasNews = this.changes.some(
      (change) => change.kind === kind && change.revision > since,
    );
    if (hasNews) answer();
  }
}

function toEntry(change: StoredChange) {
  const {name, revision, spec} = change;
  return {metadata: {name, revision}, spec: spec ?? null, status: null};
}

function reply(res: ServerResponse, status: number, body: unknown): void {
  if (res.writableEnded) return;
  res.writeHead(status, {'Content-Type': 'application/json'});
  res.end(JSON.stringify(body));
}

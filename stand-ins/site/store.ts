/** Stand-in of the platform's object store, with long polls and faults. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

import {Header, Path} from '../../platform/names.js';
import type {RunningServer} from '../lib/http-server.js';
import {readJson, startServer} from '../lib/http-server.js';

/** Availability of the store. */
export enum StoreMode {
  UP = 'up',
  /** Responds 503 to each call. */
  BUSY = 'busy',
  /** Accepts calls and never responds. */
  SILENT = 'silent',
  /** Resets each connection. */
  RESET = 'reset',
}

/** An address of the store with its own faults. */
export interface StoreEndpoint {
  readonly url: string;
  mode: StoreMode;
  /** Delay of each response, in milliseconds. */
  delayMs: number;
}

/** Content of an object as JSON text that `JSON.stringify` cannot write. */
export class RawJson {
  constructor(readonly text: string) {}
}

interface StoredChange {
  readonly revision: number;
  readonly kind: string;
  readonly name: string;
  readonly spec?: unknown;
  readonly status?: unknown;
}

interface LongPoll {
  readonly kind: string;
  readonly since: number;
  respond(): void;
  /** Closes the connection without a response. */
  cut(): void;
}

/** What the store held at a moment. */
export interface StoreCopy {
  readonly revision: number;
  readonly objects: Map<string, StoredChange>;
  readonly changes: readonly StoredChange[];
}

/** An object as a call writes it. */
interface WrittenObject {
  readonly metadata: {readonly name: string; readonly revision?: number};
  readonly spec?: unknown;
  readonly status?: unknown;
}

/** A call with the kind and the name from its path. */
interface StoreCall {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly kind: string;
  readonly name: string;
  readonly query: URLSearchParams;
  readonly endpoint: StoreEndpoint;
}

const FIRST_REVISION = 100;

const FIRST_EPOCH = 1;

/** Index of the kind among the path segments. */
const KIND_SEGMENT = Path.OBJECTS.split('/').length - 1;

/**
 * Stores objects in memory. A long poll ends at the first change of its kind,
 * or after `wait_ms`.
 *
 * @example
 * const store = new StandInStore();
 * await store.start();
 * store.put({kind: 'config', name: 'main', spec});
 */
export class StandInStore {
  /** Applies to all endpoints; if `UP`, the mode of the endpoint applies. */
  mode = StoreMode.UP;
  /** Delay of each response at all endpoints, in milliseconds. */
  delayMs = 0;
  /** Number of calls received for each kind, whatever their outcome. */
  /** Largest number of objects that a list call returns at once. */
  pageSize = Number.POSITIVE_INFINITY;
  /** Called after each page of a list. */
  onPage: () => void = () => undefined;
  private readonly callsByKind = new Map<string, number>();
  private revision = FIRST_REVISION;
  private oldestRevision = FIRST_REVISION;
  private epoch = FIRST_EPOCH;
  private objects = new Map<string, StoredChange>();
  private changes: StoredChange[] = [];
  private readonly longPolls = new Set<LongPoll>();
  private readonly servers: RunningServer[] = [];

  async start(): Promise<void> {
    await this.openEndpoint();
  }

  /** Opens another endpoint, whose faults affect only its own clients. */
  async openEndpoint(): Promise<StoreEndpoint> {
    const server = await startServer({
      address: '127.0.0.1',
      port: 0,
      handle: async ({req, res, segments, query}) => {
        const [kind = '', name = ''] = segments.slice(KIND_SEGMENT);
        await sleep(this.delayMs + endpoint.delayMs);
        await this.handle({req, res, kind, name, query, endpoint});
      },
    });
    const endpoint = {url: server.url, mode: StoreMode.UP, delayMs: 0};
    this.servers.push(server);
    return endpoint;
  }

  get url(): string {
    return this.servers[0]!.url;
  }

  async stop(): Promise<void> {
    for (const server of this.servers) await server.close();
  }

  put(options: {kind: string; name: string; spec: unknown}): void {
    const {status} = this.objects.get(`${options.kind}/${options.name}`) ?? {};
    this.change({...options, status});
  }

  /** Status of an object, as it was last written; undefined if it has none. */
  statusOf(kind: string, name: string): unknown {
    return this.objects.get(`${kind}/${name}`)?.status;
  }

  remove(options: {kind: string; name: string}): void {
    this.change({...options, spec: undefined});
  }

  /** Copies what the store holds, from which it can be restored. */
  copy(): StoreCopy {
    const {revision, objects, changes} = this;
    return {revision, objects: new Map(objects), changes: [...changes]};
  }

  /**
   * Restores the store from a copy: what was written since is lost, and its
   * revisions are given out again. Watches end without an answer.
   */
  restore(copy: StoreCopy): void {
    this.revision = copy.revision;
    this.objects = new Map(copy.objects);
    this.changes = [...copy.changes];
    this.epoch++;
    for (const longPoll of [...this.longPolls]) longPoll.cut();
  }

  /** Adds changes of a kind that no entry reads. */
  addRevisions(count: number): void {
    for (let i = 0; i < count; i++)
      this.put({kind: 'other', name: 'padding', spec: i});
  }

  /** Deletes the change history; watches of older revisions get 410. */
  dropHistory(): void {
    this.oldestRevision = this.revision;
    this.changes.length = 0;
  }

  /** Ends all long polls early, as a fault of the store can. */
  endLongPolls(): void {
    for (const longPoll of [...this.longPolls]) longPoll.respond();
  }

  private change(options: {
    kind: string;
    name: string;
    spec?: unknown;
    status?: unknown;
  }): void {
    const {kind, name} = options;
    this.revision++;
    const change = {...options, revision: this.revision};
    this.changes.push(change);
    if (options.spec === undefined) this.objects.delete(`${kind}/${name}`);
    else this.objects.set(`${kind}/${name}`, change);
    for (const longPoll of [...this.longPolls]) {
      if (longPoll.kind === kind) longPoll.respond();
    }
  }

  /** Returns the names of the objects of a kind. */
  namesOf(kind: string): string[] {
    return [...this.objects.values()]
      .filter((object) => object.kind === kind)
      .map(({name}) => name);
  }

  /** Number of calls received, of one kind or of all. */
  callCount(kind?: string): number {
    if (kind !== undefined) return this.callsByKind.get(kind) ?? 0;
    return [...this.callsByKind.values()].reduce((sum, n) => sum + n, 0);
  }

  private async handle(call: StoreCall): Promise<void> {
    const {req, res, kind, query} = call;
    this.callsByKind.set(kind, this.callCount(kind) + 1);
    res.setHeader(Header.STORE_EPOCH, String(this.epoch));
    const mode = this.modeAt(call.endpoint);
    if (mode === StoreMode.SILENT) return;
    if (mode === StoreMode.RESET) {
      req.socket.resetAndDestroy();
      return;
    }
    if (mode === StoreMode.BUSY || !req.url?.startsWith(Path.OBJECTS)) {
      sendJson(res, 503, {});
      return;
    }
    if (req.method !== 'GET') {
      await this.write(call);
      return;
    }
    const watch = query.get('watch');
    if (watch === null) this.list(call);
    else this.startLongPoll(call);
  }

  private modeAt(endpoint: StoreEndpoint): StoreMode {
    return this.mode === StoreMode.UP ? endpoint.mode : this.mode;
  }

  private async write({req, res, kind, name}: StoreCall): Promise<void> {
    if (req.method === 'DELETE') {
      this.remove({kind, name});
      sendJson(res, 200, {});
      return;
    }
    const object = (await readJson({req})) as WrittenObject;
    if (req.url?.endsWith('/status') === true) {
      this.writeStatus({res, kind, name, object});
      return;
    }
    const {metadata, spec} = object;
    const exists = this.objects.has(`${kind}/${metadata.name}`);
    const isUpdate = req.method === 'PUT';
    if (exists !== isUpdate) {
      sendJson(res, isUpdate ? 404 : 409, {});
      return;
    }
    this.put({kind, name: metadata.name, spec});
    sendJson(res, 201, {});
  }

  /** Replaces the status if the object has the revision that the call names. */
  private writeStatus(options: {
    res: ServerResponse;
    kind: string;
    name: string;
    object: WrittenObject;
  }): void {
    const {res, kind, name, object} = options;
    const stored = this.objects.get(`${kind}/${name}`);
    if (stored === undefined) {
      sendJson(res, 404, {});
      return;
    }
    const {revision = stored.revision} = object.metadata;
    if (revision !== stored.revision) {
      sendJson(res, 409, toEntry(stored));
      return;
    }
    const {spec} = stored;
    this.change({kind, name, spec, status: object.status});
    sendJson(res, 200, {});
  }

  /** Sends a page of a kind, in the order of names. */
  private list({res, kind, query}: StoreCall): void {
    const afterName = query.get('since_revision') ?? '';
    const rest = [...this.objects.values()]
      .filter((object) => object.kind === kind && object.name > afterName)
      .sort((a, b) => (a.name < b.name ? -1 : 1));
    const page = rest.slice(0, this.pageSize);
    sendJson(res, 200, {
      entries: page.map(toEntry),
      has_more: page.length < rest.length,
      at: this.revision,
    });
    this.onPage();
  }

  private startLongPoll({res, kind, query, endpoint}: StoreCall): void {
    const since = Number(query.get('watch'));
    if (since < this.oldestRevision || since > this.revision) {
      sendJson(res, 410, {});
      return;
    }
    const respond = () => {
      clearTimeout(timer);
      this.longPolls.delete(longPoll);
      if (this.modeAt(endpoint) === StoreMode.SILENT) return;
      const events = this.changes
        .filter((change) => change.kind === kind && change.revision > since)
        .map((change) => ({
          object: toEntry(change),
          deleted: change.spec === undefined,
        }));
      sendJson(res, 200, {events, at: this.revision});
    };
    const timer = setTimeout(respond, Number(query.get('wait_ms')));
    const cut = () => {
      clearTimeout(timer);
      this.longPolls.delete(longPoll);
      res.destroy();
    };
    const longPoll = {kind, since, respond, cut};
    this.longPolls.add(longPoll);
    const hasChanges = this.changes.some(
      (change) => change.kind === kind && change.revision > since,
    );
    if (hasChanges) respond();
  }
}

function toEntry(change: StoredChange) {
  const {name, revision, spec, status = null} = change;
  return {metadata: {name, revision}, spec: spec ?? null, status};
}

function sendJson(res: ServerResponse, status: number, body: unknown): void {
  if (res.writableEnded) return;
  res.writeHead(status, {'Content-Type': 'application/json'});
  res.end(encodeJson(body));
}

/** Encodes a body; raw JSON is inserted as it is. */
function encodeJson(body: unknown): string {
  const raw: string[] = [];
  const text = JSON.stringify(body, (_key, value: unknown) => {
    if (!(value instanceof RawJson)) return value;
    raw.push(value.text);
    return `raw ${raw.length - 1}`;
  });
  return text.replaceAll(/"raw (\d+)"/g, (_match, i) => raw[Number(i)]!);
}

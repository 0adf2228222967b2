/** HTTP server of the platform: objects, watches, VM list, faults, counts. */
import type {ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

import type {HttpCall, RunningServer} from '../lib/http-server.js';
import {
  HttpError,
  readJson,
  sendJson,
  startServer,
} from '../lib/http-server.js';
import {FaultInjector} from './fault-injector.js';
import {MAX_VALUE_BYTES, ObjectTable} from './object-table.js';
import type {CallCount, PlatformOptions} from './types.js';
import {PlatformFault, Verb} from './types.js';
import {VmTable} from './vm-table.js';

/** Default options of the platform. */
export const DEFAULT_PLATFORM_OPTIONS: PlatformOptions = {
  address: '127.0.0.1',
  port: 0,
  vmLagMs: 1_000,
  latencyMs: 2,
  logLength: 50_000,
  keepAliveMs: 1_000,
};

/** Allowance for the part of a request body around its value, in bytes. */
const ENVELOPE_BYTES = 1_024;

/** Kind in the call counts for reads of the VM list. */
const VM_KIND = 'vms';

const WRITE_VERBS: Readonly<Record<string, Verb>> = {
  POST: Verb.CREATE,
  PUT: Verb.UPDATE,
  DELETE: Verb.DELETE,
};

/**
 * Starts a platform.
 *
 * @example
 * const platform = await startPlatform({vmLagMs: 0});
 */
export function startPlatform(
  options: Partial<PlatformOptions> = {},
): Promise<RunningServer> {
  const full = {...DEFAULT_PLATFORM_OPTIONS, ...options};
  const platform = new PlatformServer(full);
  const {address, port} = full;
  const handle = (call: HttpCall): Promise<void> => platform.handle(call);
  return startServer({address, port, handle});
}

class PlatformServer {
  private readonly objects: ObjectTable;
  private readonly vms: VmTable;
  private readonly faults = new FaultInjector();
  private readonly counts: CallCount[] = [];
  private readonly watches = new Set<ServerResponse>();

  constructor(private readonly options: PlatformOptions) {
    this.objects = new ObjectTable(options.logLength);
    this.vms = new VmTable(options.vmLagMs);
  }

  async handle(call: HttpCall): Promise<void> {
    const [root = '', kind = '', name] = call.segments;
    const key = `${call.method} /${root}`;
    if (key === 'POST /faults') return this.setFault(call);
    if (key === 'GET /counts') return this.sendCounts(call.res);
    if (root === 'vms') return this.handleVms(call, kind);
    if (key === 'GET /watch') return this.watch(call, kind);
    if (root !== 'objects') throw new HttpError(404, 'no such path');
    if (call.method === 'GET') return this.read(call, kind, name);
    return this.write(call, kind, name ?? '');
  }

  private async read(
    {res, query}: HttpCall,
    kind: string,
    name: string | undefined,
  ): Promise<void> {
    const verb = name === undefined ? Verb.LIST : Verb.GET;
    await this.beginCall(kind, verb);
    const body =
      name === undefined
        ? {objects: this.objects.list(kind, query.get('prefix') ?? '')}
        : this.objects.get(kind, name);
    sendJson({res, status: 200, body});
  }

  private async write(
    call: HttpCall,
    kind: string,
    name: string,
  ): Promise<void> {
    const {method, req, res} = call;
    const verb = WRITE_VERBS[method];
    if (verb === undefined) throw new HttpError(405, 'unknown method');
    const limitBytes = MAX_VALUE_BYTES + ENVELOPE_BYTES;
    const body = await readJson({req, limitBytes});
    await this.beginCall(kind, verb);
    await this.faults.holdWrite(kind);
    const fault = this.faults.consumeForWrite();
    if (fault === PlatformFault.FAIL_BEFORE_EFFECT) {
      throw new HttpError(503, 'failing before effect');
    }
    const expected = expectedVersion(req.headers['if-match']);
    const result = this.apply({verb, kind, name, expected, body});
    if (fault === PlatformFault.LOSE_WRITE_RESPONSE) {
      res.destroy();
      return;
    }
    const status = verb === Verb.CREATE ? 201 : 200;
    sendJson({res, status, body: result});
  }

  private apply(options: {
    verb: Verb;
    kind: string;
    name: string;
    expected: number;
    body: unknown;
  }): object {
    const {verb, kind, name, expected, body} = options;
    if (verb === Verb.DELETE) {
      return {version: this.objects.remove({kind, name, expected})};
    }
    const value = valueOf(body);
    if (verb === Verb.CREATE) return this.objects.create(kind, name, value);
    return this.objects.update({kind, name, expected}, value);
  }

  private async watch(call: HttpCall, kind: string): Promise<void> {
    const {res, query} = call;
    await this.beginCall(kind, Verb.WATCH);
    // Logged changes are collected first: until the response head is sent, a
    // watch of a version that is too old can still be refused with 410.
    const lines: string[] = [];
    let emit = (line: string): void => void lines.push(line);
    const stop = this.objects.watch({
      kind,
      since: Number(query.get('since') ?? 0),
      listener: (change) => emit(`${JSON.stringify(change)}\n`),
    });
    res.writeHead(200, {'content-type': 'application/x-ndjson'});
    res.flushHeaders();
    res.write(lines.join(''));
    emit = (line) => void res.write(line);
    this.keepWatchAlive(res, stop);
  }

  private keepWatchAlive(res: ServerResponse, stop: () => void): void {
    const keepAlive = setInterval(
      () => res.write('\n'),
      this.options.keepAliveMs,
    );
    this.watches.add(res);
    res.on('close', () => {
      clearInterval(keepAlive);
      this.watches.delete(res);
      stop();
    });
  }

  private async handleVms(call: HttpCall, name: string): Promise<void> {
    const {method, req, res} = call;
    if (method === 'GET') {
      await this.beginCall(VM_KIND, Verb.LIST);
      return sendJson({res, status: 200, body: {vms: this.vms.visible}});
    }
    if (method === 'PUT') {
      const vm = this.vms.put(name, await readJson({req}));
      return sendJson({res, status: 200, body: vm});
    }
    if (method !== 'DELETE') throw new HttpError(405, 'unknown method');
    this.vms.remove(name);
    sendJson({res, status: 200, body: {}});
  }

  private async setFault({req, res}: HttpCall): Promise<void> {
    const mode = this.faults.set(await readJson({req}));
    if (this.faults.isDown) this.watches.forEach((watch) => watch.destroy());
    sendJson({res, status: 200, body: {mode}});
  }

  private sendCounts(res: ServerResponse): void {
    const total = this.counts.reduce((sum, {count}) => sum + count, 0);
    sendJson({res, status: 200, body: {total, calls: this.counts}});
  }

  /** Counts a call, waits for its latency, and throws 503 while down. */
  private async beginCall(kind: string, verb: Verb): Promise<void> {
    this.count(kind, verb);
    if (this.faults.isDownFor(kind)) throw new HttpError(503, 'down');
    const waitMs = this.options.latencyMs + this.faults.delayMs;
    if (waitMs > 0) await sleep(waitMs);
    if (this.faults.isDownFor(kind)) throw new HttpError(503, 'down');
  }

  private count(kind: string, verb: Verb): void {
    const existing = this.counts.find(
      (c) => c.kind === kind && c.verb === verb,
    );
    if (existing === undefined) this.counts.push({kind, verb, count: 1});
    else existing.count += 1;
  }
}

function expectedVersion(header: string | undefined): number {
  return Number((header ?? '').replaceAll('"', '') || NaN);
}

function valueOf(body: unknown): unknown {
  const isObject = typeof body === 'object' && body !== null;
  if (isObject && 'value' in body) return body.value;
  throw new HttpError(400, 'value is missing');
}

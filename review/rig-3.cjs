/**
 * Small deployment for the scripts of this review: a store, servers and the
 * entries that the deploy file starts, all on loopback addresses. Store and
 * servers behave as PROTOCOL.md says; what a case adds is passed in by it.
 */
'use strict';
const {spawn} = require('node:child_process');
const {randomInt} = require('node:crypto');
const fs = require('node:fs');
const http = require('node:http');
const net = require('node:net');
const os = require('node:os');
const path = require('node:path');

const ROOT = path.resolve(__dirname, '..');
const HOST = 'shop.example';
/** Figures of each server of plain calls. */
const SLOTS = 64;
const QUEUE = 24;
const MAX_CHANNELS = 110;
const KEY = 'key-of-tenant-a';
const TENANT = 'tenant-a';

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** What a slow client reads at first, and later, and how often. */
const FIRST_READ_BYTES = 256;
const READ_BYTES = 16_384;
const READ_EVERY_MS = 40;
/** Time for which it reads less. */
const FIRST_MS = 8_000;
const READ_LIMIT_MS = 40_000;

/** Loopback address of its own for a process of this run. */
function freshAddress() {
  return `127.${randomInt(64, 120)}.${randomInt(1, 250)}.${randomInt(2, 250)}`;
}

/** Writes the record of a run, and keeps its start time. */
class Recorder {
  constructor(file) {
    this.startMs = Date.now();
    this.out = fs.openSync(file, 'w');
  }

  line(text) {
    const s = ((Date.now() - this.startMs) / 1000).toFixed(3).padStart(8);
    fs.writeSync(this.out, `${s} ${text}\n`);
    console.log(`${s} ${text}`);
  }
}

/** Object store: lists, watches and conditional writes of PROTOCOL.md. */
class Store {
  constructor() {
    this.revision = 100;
    this.objects = new Map();
    this.changes = [];
    this.waiting = new Set();
  }

  async start() {
    this.server = http.createServer((req, res) => this.handle(req, res));
    this.server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  put(kind, name, spec) {
    const known = this.objects.get(`${kind}/${name}`);
    return this.change(kind, name, {
      metadata: {
        name,
        revision: ++this.revision,
        created: known?.metadata.created ?? this.revision,
        finalizers: [],
        deletion_pending: false,
      },
      spec,
      status: known?.status ?? null,
    });
  }

  remove(kind, name) {
    const object = this.objects.get(`${kind}/${name}`);
    if (object === undefined) return;
    this.change(
      kind,
      name,
      {
        ...object,
        metadata: {...object.metadata, revision: ++this.revision},
      },
      true,
    );
  }

  change(kind, name, object, deleted = false) {
    if (deleted) this.objects.delete(`${kind}/${name}`);
    else this.objects.set(`${kind}/${name}`, object);
    this.changes.push({kind, object, deleted, revision: this.revision});
    for (const watch of [...this.waiting]) if (watch.kind === kind) watch.end();
    return object;
  }

  handle(req, res) {
    const url = new URL(req.url, 'http://127.0.0.1');
    const [, , , kind, name, sub] = url.pathname.split('/');
    const chunks = [];
    req.on('data', (chunk) => chunks.push(chunk));
    req.on('error', () => undefined);
    req.on('end', () => {
      const text = Buffer.concat(chunks).toString();
      const body = text === '' ? {} : JSON.parse(text);
      this.answer({req, res, url, kind, name, sub, body});
    });
  }

  answer({req, res, url, kind, name, sub, body}) {
    const send = (status, value) => {
      if (res.destroyed) return;
      res.writeHead(status, {
        'Content-Type': 'application/json',
        'Store-Era': '1',
      });
      res.end(JSON.stringify(value));
    };
    const known = (id) => this.objects.get(`${kind}/${id}`);
    if (req.method === 'GET' && name !== undefined) {
      const object = known(name);
      return object === undefined ? send(404, {}) : send(200, object);
    }
    if (req.method === 'GET' && url.searchParams.has('watch'))
      return this.watch({res, kind, url, send});
    if (req.method === 'GET') {
      const entries = [...this.objects]
        .filter(([id]) => id.startsWith(`${kind}/`))
        .map(([, object]) => object);
      return send(200, {entries, has_more: false, at: this.revision});
    }
    if (req.method === 'POST') {
      const id = body.metadata.name;
      if (known(id) !== undefined) return send(409, known(id));
      return send(201, this.put(kind, id, body.spec));
    }
    const object = known(name);
    if (object === undefined) return send(404, {});
    const condition = body.metadata?.revision;
    if (condition !== undefined && condition !== object.metadata.revision)
      return send(409, object);
    if (req.method === 'DELETE') {
      this.remove(kind, name);
      return send(200, {});
    }
    if (sub === 'status') {
      const metadata = {...object.metadata, revision: ++this.revision};
      const next = {...object, metadata, status: body.status};
      return send(200, this.change(kind, name, next));
    }
    if (JSON.stringify(object.spec) === JSON.stringify(body.spec))
      return send(200, object);
    return send(200, this.put(kind, name, body.spec));
  }

  watch({res, kind, url, send}) {
    const since = Number(url.searchParams.get('watch'));
    const waitMs = Math.min(30_000, Number(url.searchParams.get('wait_ms')));
    const news = () =>
      this.changes.filter((c) => c.kind === kind && c.revision > since);
    const watch = {
      kind,
      end: () => {
        clearTimeout(timer);
        this.waiting.delete(watch);
        const events = news().map(({object, deleted}) => ({object, deleted}));
        send(200, {events, at: this.revision});
      },
    };
    const timer = setTimeout(watch.end, waitMs);
    this.waiting.add(watch);
    res.once('close', () => {
      clearTimeout(timer);
      this.waiting.delete(watch);
    });
    if (news().length > 0) watch.end();
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }
}

/** A server of a service; `serve` writes the answer to each request it runs. */
class Server {
  constructor({id, service, zone = 'zone-a', serve, onRun = () => undefined}) {
    Object.assign(this, {id, service, zone, serve, onRun});
    this.born = Date.now();
    this.sequence = 1;
    this.running = 0;
    this.queue = [];
    this.channels = 0;
  }

  async start(store) {
    this.server = http.createServer((req, res) => this.handle(req, res));
    this.server.keepAliveTimeout = 30_000;
    this.server.on('connection', (socket) => {
      socket.on('error', () => undefined);
      if (++this.channels > MAX_CHANNELS) socket.resetAndDestroy();
      socket.once('close', () => this.channels--);
    });
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
    this.store = store;
    this.beat();
    this.timer = setInterval(() => this.beat(), 1_200);
  }

  beat() {
    this.store.put('servers', this.id, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: SLOTS,
      state: 'ready',
      warmup_left_ms: 0,
      sequence: this.sequence++,
      born: this.born,
    });
  }

  handle(req, res) {
    const chunks = [];
    req.on('data', (chunk) => chunks.push(chunk));
    req.on('error', () => undefined);
    res.on('error', () => undefined);
    req.on('end', () => {
      const expected = req.headers['expect-instance'];
      const id = req.headers['attempt-id'];
      if (req.url === '/healthz') {
        res.writeHead(200, {'Instance-Id': this.id, 'Content-Length': 0});
        res.end();
      } else if (expected !== undefined && expected !== this.id) {
        res.writeHead(421, {
          'Attempt-Id': id ?? '',
          'Instance-Id': this.id,
          'Not-Executed': '1',
        });
        res.end();
      } else if (id === undefined) {
        res.writeHead(400, {'Not-Executed': '1'});
        res.end();
      } else {
        this.admit({id, req, res, body: Buffer.concat(chunks)});
      }
    });
  }

  /** Runs so many requests at once as there are slots, and queues a few. */
  admit(request) {
    const {id, res} = request;
    if (this.running >= SLOTS && this.queue.length >= QUEUE) {
      res.writeHead(503, {'Attempt-Id': id, 'Not-Executed': '1'});
      res.end();
      return;
    }
    res.once('close', () => this.leave(request));
    this.queue.push(request);
    this.runNext();
  }

  runNext() {
    if (this.running >= SLOTS || this.queue.length === 0) return;
    const request = this.queue.shift();
    this.running++;
    request.hasRun = true;
    this.onRun(request);
    this.serve(request);
  }

  leave(request) {
    if (request.hasRun) this.running--;
    else this.queue.splice(this.queue.indexOf(request), 1);
    this.runNext();
  }

  stop() {
    clearInterval(this.timer);
    this.server?.closeAllConnections();
    this.server?.close();
  }
}

/** Desired state with one service of plain calls. */
function desiredState(changes = {}) {
  const route = (name, prefix, type, more = {}) => ({
    name,
    hostname: HOST,
    path_prefix: prefix,
    route_type: type,
    service: 'desk',
    timeout_ms: 30_000,
    target_latency_ms: 300,
    priority: 1,
    max_attempts: type === 'safe' ? 2 : 1,
    ...more,
  });
  return {
    version: 10,
    routes: [
      route('stock', '/stock/', 'safe'),
      route('orders', '/orders/', 'unsafe'),
    ],
    services: [
      {name: 'desk', health_check: '/healthz', max_connections: MAX_CHANNELS},
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{name: TENANT, api_keys: [KEY]}],
    ...changes,
  };
}

/** Starts an entry with the command of the deploy file. */
class Entry {
  constructor({name, store, limits, bounds = {}, dir}) {
    Object.assign(this, {name, store, dir});
    this.address = freshAddress();
    this.frontend = {host: this.address, port: 8740};
    this.readiness = {host: this.address, port: 8749};
    this.settings = {
      node_name: name,
      role: 'direct',
      machine_class: 'edge',
      serves: ['edge'],
      ip: this.address,
      zone: 'zone-a',
      region: 'region-a',
      zones: {'zone-a': 'region-a'},
      listen: {
        frontend: `${this.address}:8740`,
        readiness: `${this.address}:8749`,
      },
      port_range: [7200, 7215],
      seeds: [],
      bootstrap: true,
      limits: {
        cpu_quota: 0.513,
        cores: 1,
        memory_mb: 350,
        max_fds: 4100,
        link_mbps: 1000,
        ...limits,
      },
      data_dir: null,
      heartbeat_ms: 1200,
      contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover'],
      bounds: {
        contact_ms: 3000,
        drain_ms: 2000,
        grace_s: 8,
        loss_slack_ms: 200,
        config_apply_ms: 2000,
        strict_revocation: true,
        revoke_ms: 5000,
        retry_budget_ratio: 0.8,
        retry_window_s: 10,
        retry_slack: 150,
        retry_after_s: 10,
        ...bounds,
      },
      platform: {
        address: store.address,
        form: 'objects',
        writes_per_s: 400,
        reads_per_s: 2000,
        history_s: 20,
        value_bytes: 1048576,
      },
    };
  }

  async start() {
    const file = path.join(this.dir, `${this.name}.yaml`);
    fs.writeFileSync(file, JSON.stringify(this.settings));
    const [program, ...args] = deployCommand();
    const log = fs.openSync(path.join(this.dir, `${this.name}.log`), 'a');
    this.child = spawn(program, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG ?? 'C',
        PLANTAINRILL_BOOT: file,
      },
      stdio: ['ignore', log, log],
    });
    this.exit = new Promise((resolve) =>
      this.child.once('exit', (code, signal) => {
        this.ended = {code, signal, atMs: Date.now()};
        resolve(this.ended);
      }),
    );
    for (let i = 0; i < 150; i++) {
      if (await this.isReady()) return;
      if (this.ended !== undefined) break;
      await sleep(100);
    }
    throw new Error(`${this.name} did not become ready`);
  }

  isReady() {
    return new Promise((resolve) => {
      const req = http.get(
        {...this.readiness, path: '/-/readyz', timeout: 1_000, agent: false},
        (res) => {
          res.resume();
          resolve(res.statusCode === 200);
        },
      );
      req.on('timeout', () => req.destroy());
      req.on('error', () => resolve(false));
    });
  }

  /** Resident memory in MB; undefined once the process has ended. */
  memoryMb() {
    try {
      const text = fs.readFileSync(`/proc/${this.child.pid}/status`, 'utf8');
      return Math.round(Number(/VmRSS:\s+(\d+)/.exec(text)[1]) / 1024);
    } catch {
      return undefined;
    }
  }

  lastLines(count) {
    const file = path.join(this.dir, `${this.name}.log`);
    return fs.readFileSync(file, 'utf8').trim().split('\n').slice(-count);
  }

  async stop() {
    if (this.child === undefined || this.ended !== undefined) return;
    this.child.kill('SIGKILL');
    await this.exit;
  }
}

/** The words of `run` in the deploy file. */
function deployCommand() {
  const file = path.join(ROOT, 'deploy', 'system.toml');
  const text = fs.readFileSync(file, 'utf8');
  return /^run\s*=\s*"([^"]+)"/m.exec(text)[1].split(' ');
}

/** Sends one request on an agent; resolves with what the client has seen. */
function request({entry, id, agent, method = 'GET', url, body, deadlineMs}) {
  return new Promise((resolve) => {
    const seen = {id, status: undefined, bytes: 0, isComplete: false};
    const req = http.request(
      {
        ...entry.frontend,
        agent,
        method,
        path: url,
        headers: {
          Host: HOST,
          'Attempt-Id': id,
          'Deadline-Ms': String(deadlineMs),
          Authorization: `Token ${KEY}`,
          ...(body === undefined ? {} : {'Content-Length': body.length}),
        },
      },
      (res) => {
        seen.status = res.statusCode;
        seen.stamp = res.headers['server-stamp'];
        res.on('data', (chunk) => (seen.bytes += chunk.length));
        res.on('error', (err) => (seen.error = err.code));
        res.on('close', () => {
          seen.isComplete = res.complete;
          resolve(seen);
        });
      },
    );
    req.on('error', (err) => {
      seen.error = err.code;
      resolve(seen);
    });
    req.end(body);
  });
}

/**
 * Reads an answer slowly, but never stops; resolves with what has arrived at its
 * end.
 */
function readSlowly({entry, id, url}) {
  const startMs = Date.now();
  return new Promise((resolve) => {
    const socket = net.connect(entry.frontend);
    const chunks = [];
    const seen = {bytes: 0, end: 'time limit'};
    socket.pause();
    socket.write(
      `GET ${url} HTTP/1.1\r\nHost: ${HOST}\r\nAttempt-Id: ${id}\r\n` +
        `Deadline-Ms: 30000\r\nAuthorization: Token ${KEY}\r\n\r\n`,
    );
    const timer = setInterval(() => {
      const isFirst = Date.now() - startMs < FIRST_MS;
      const size = isFirst ? FIRST_READ_BYTES : READ_BYTES;
      const chunk = socket.read(size) ?? socket.read();
      if (chunk !== null) chunks.push(chunk);
    }, READ_EVERY_MS);
    const finish = (end) => {
      clearInterval(timer);
      clearTimeout(limit);
      socket.destroy();
      const all = Buffer.concat(chunks);
      const split = all.indexOf('\r\n\r\n');
      seen.end = end;
      seen.head = all.subarray(0, Math.max(0, split)).toString('latin1');
      seen.bytes = split < 0 ? 0 : all.length - split - 4;
      resolve(seen);
    };
    const limit = setTimeout(() => finish('time limit'), READ_LIMIT_MS);
    socket.on('readable', () => undefined);
    socket.on('end', () => finish('orderly end (FIN)'));
    socket.on('error', (err) => finish(`broken (${err.code})`));
  });
}

/**
 * Runs a case in a temporary folder and exits with its verdict: 1 if the rule
 * was broken, 0 if it held, 2 if the case could not run.
 */
async function runCase({folder, play, limitMs = 110_000}) {
  const dir = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
  const record = new Recorder(path.join(folder, 'record.txt'));
  const hasTrouble = process.env.TROUBLE !== '0';
  const started = [];
  const keep = (part) => (started.push(part), part);
  let verdict = 2;
  let isFinishing = false;
  const finish = async () => {
    if (isFinishing) return;
    isFinishing = true;
    for (const part of started.reverse()) await part.stop();
    fs.rmSync(dir, {recursive: true, force: true});
    record.line(`verdict ${verdict}`);
    process.exit(verdict);
  };
  setTimeout(() => {
    record.line('the time limit of the case is over');
    verdict = 2;
    finish();
  }, limitMs).unref();
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'])
    process.on(signal, () => {
      verdict = 2;
      finish();
    });
  try {
    record.line(`TROUBLE=${hasTrouble ? 1 : 0}`);
    const isBroken = await play({dir, record, hasTrouble, keep});
    if (!isFinishing) verdict = isBroken ? 1 : 0;
  } catch (cause) {
    record.line(`could not run: ${cause.stack}`);
  }
  await finish();
}

module.exports = {
  desiredState,
  Entry,
  HOST,
  KEY,
  readSlowly,
  request,
  runCase,
  Server,
  sleep,
  Store,
};

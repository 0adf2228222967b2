/**
 * Streams of several clients over engines that copy memory. Under the
 * disruption some engines send one answer in a hundred twice, the second copy
 * where the next answer of the channel is expected; then one engine crashes.
 */
'use strict';
const fs = require('node:fs');
const http = require('node:http');
const path = require('node:path');
const {
  Store,
  listen,
  readBody,
  sleep,
  startEntry,
  stopEntry,
  temporaryFolder,
} = require('../fleet-2.cjs');

const TROUBLE = process.env.TROUBLE !== '0';
const ENGINES = 7;
/** Those of the first zone; the last one holds the copies of their runs. */
const FIRST_ZONE = 6;
const CAPACITY = 55000;
const EVENTS = 160;
const GAP_MS = 60;
const STRIDE = 6;
const LONG_STREAMS = 33;
/** What other entries have at the last engine at first, in tokens. */
const OTHERS_TOKENS = 53000;
const OTHERS_UNTIL_MS = 1500;
const KEY = 'k3y0of0the0tenant001';
const HOST = 'ficu95.example';
/** Largest share of an engine's answers that are sent twice (`garble`). */
const EXTRA_SHARE = 0.03;
/** Events of a run from which on an answer to a copy of it may be sent twice. */
const REPEATED_FROM = 80;
/** Share of the engines that send them (`garble`). */
const GARBLED_SHARE = 0.6;
const GARBLE_FROM_MS = 2000;
const GARBLE_FOR_MS = 5000;
const CRASH_AT_MS = 7400;

const started = Date.now();
const lines = [];
function record(text) {
  const at = ((Date.now() - started) / 1000).toFixed(3);
  lines.push(`${at} ${text}`);
}

/** Memory of streams at the engines, by `ENGINE ADDRESS/ID` of the holder. */
const enginesByAddress = new Map();
const violations = [];
/** Answers of the garbled engines during the garble, and those sent twice. */
const dose = {answers: 0, extras: 0};

class Engine {
  constructor(index) {
    this.index = index;
    this.id = `i-${(0xe0000 + index).toString(16)}`;
    this.zone = index < FIRST_ZONE ? 'here-a' : 'here-b';
    this.born = Date.now();
    this.sequence = 1;
    this.runs = new Map();
    /** Copies that it holds, by `SOURCE ADDRESS/HANDLE`. */
    this.copies = new Map();
    this.holds = new Map();
    this.sockets = new Set();
    this.handles = 0;
    this.answers = 0;
    this.extras = 0;
    /** Memory that the work of other entries takes. */
    this.otherTokens = 0;
    this.isDown = false;
    this.isGarbled = false;
    this.mayRepeat = false;
    this.server = http.createServer((req, res) => {
      this.handle(req, res).catch(() => undefined);
    });
    this.server.keepAliveTimeout = 5000;
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  async start() {
    const port = await listen(this.server);
    this.address = `127.0.0.1:${port}`;
    enginesByAddress.set(this.address, this);
  }

  registration() {
    return {
      service: 'huvo11a',
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: 16,
      state: 'ready',
      warmup_left_ms: 0,
      stage: 'mixed',
      models: [{name: 'm', version: 1, adapters: []}],
      sequence: this.sequence,
      born: this.born,
    };
  }

  /** It crashes: its channels are reset, and it answers nothing more. */
  crash() {
    this.isDown = true;
    this.server.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
    for (const run of this.runs.values()) clearInterval(run.timer);
    this.runs.clear();
    this.copies.clear();
  }

  countAnswer() {
    this.answers++;
    if (this.isGarbled) dose.answers++;
  }

  usedTokens() {
    let used = this.otherTokens;
    for (const {tokens} of this.runs.values()) used += tokens;
    for (const {tokens} of this.copies.values()) used += tokens;
    for (const tokens of this.holds.values()) used += tokens;
    return used;
  }

  /** Sends the second copy of an earlier answer before the next answer. */
  sendLateExtra({socket, url}) {
    if (socket.extra === undefined) return;
    record(`${this.id} sends the second copy before its answer to ${url}`);
    socket.write(socket.extra);
    socket.extra = undefined;
  }

  reply(req, res, status, value, mayRepeat = false) {
    const text = JSON.stringify(value);
    this.countAnswer();
    this.sendLateExtra(req);
    const isWithinDose = dose.extras + 1 <= dose.answers * EXTRA_SHARE;
    if (mayRepeat && this.isGarbled && isWithinDose) {
      this.extras++;
      dose.extras++;
      record(`${this.id} will send its answer ${text} twice`);
      req.socket.extra =
        `HTTP/1.1 ${status} OK\r\nContent-Type: application/json\r\n` +
        `Content-Length: ${Buffer.byteLength(text)}\r\n\r\n${text}`;
    }
    res.writeHead(status, {
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(text),
    });
    res.end(text);
  }

  async handle(req, res) {
    const body = await readBody(req);
    res.sendDate = false;
    const expected = req.headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      res.writeHead(421, {'Instance-Id': this.id, 'Content-Length': 0}).end();
      return;
    }
    if (req.url === '/-/report') {
      const generating = [...this.runs].filter(([, run]) => run.made > 0);
      this.reply(req, res, 200, {
        stage: 'mixed',
        models: [{name: 'm', version: 1, adapters: []}],
        busy: false,
        sequence: this.sequence,
        queued: 0,
        active: this.runs.size,
        kv_used: this.usedTokens(),
        kv_total: CAPACITY,
        handles: this.copies.size,
        born: this.born,
        pinned: 0,
        held: this.holds.size,
        state: 'ready',
        next_token: 0,
        runs: generating.map(([id, run]) => [id, run.tokens, run.made, 5]),
      });
      return;
    }
    if (req.url === '/-/hold-take') {
      const asked = JSON.parse(body.toString());
      if (this.usedTokens() + asked.token_count > CAPACITY) {
        this.reply(req, res, 503, {});
        return;
      }
      const id = `r${++this.handles}`;
      this.holds.set(id, asked.token_count);
      setTimeout(() => this.holds.delete(id), asked.ttl_ms);
      this.reply(req, res, 200, {retention: id});
      return;
    }
    if (req.url.startsWith('/-/hold-drop/')) {
      this.holds.delete(req.url.split('/').at(-1));
      this.reply(req, res, 200, {});
      return;
    }
    if (req.url === '/-/kv-move') {
      await this.copyMemory(req, res, JSON.parse(body.toString()));
      return;
    }
    if (req.url.startsWith('/-/kv-handle/')) {
      const handle = req.url.split('/').at(-1);
      for (const engine of enginesByAddress.values())
        engine.copies.delete(`${this.address}/${handle}`);
      this.reply(req, res, 200, {});
      return;
    }
    this.sendLateExtra(req);
    this.countAnswer();
    this.stream(req, res);
  }

  /** Copies the memory of a run to another engine, or what is new of it. */
  async copyMemory(req, res, {id, target}) {
    const run = this.runs.get(id);
    if (run === undefined) {
      this.reply(req, res, 404, {});
      return;
    }
    await sleep(6);
    const holder = enginesByAddress.get(target);
    if (holder === undefined || holder.isDown) {
      this.reply(req, res, 503, {});
      return;
    }
    run.handle ??= `h${this.index}-${++this.handles}`;
    const key = `${this.address}/${run.handle}`;
    holder.copies.set(key, {owner: id, tokens: run.tokens, made: run.next - 1});
    record(`${this.id} copied run ${id} as ${run.handle} to ${holder.id}`);
    const created = run.next - 1;
    const mayRepeat = this.mayRepeat && created >= REPEATED_FROM;
    const answer = {handle: run.handle, created};
    this.reply(req, res, 200, answer, mayRepeat);
  }

  stream(req, res) {
    const id = req.headers['attempt-id'];
    const [prompt, most] = req.headers['token-count'].split(',').map(Number);
    const from = req.headers['kv-from'];
    const backup = enginesByAddress.get(req.headers['kv-backup']);
    this.holds.delete(req.headers['kv-hold']);
    let owner = id;
    if (from !== undefined) {
      const copy = this.copies.get(from);
      this.copies.delete(from);
      record(
        `${this.id} gets ${id} with Kv-From ${from}: ` +
          (copy === undefined ? 'no such copy' : `memory of ${copy.owner}`),
      );
      if (copy === undefined) {
        res.writeHead(503, {
          'Attempt-Id': id,
          'Not-Executed': '1',
          'Content-Length': 0,
        });
        res.end();
        return;
      }
      owner = copy.owner;
      if (owner !== id) {
        const text = `${id} goes on at ${this.id} from the memory of ${owner}`;
        violations.push(`MIXED: ${text}`);
        record(`MIXED ${text}`);
      }
    }
    const first = Number(req.headers['last-event-id'] ?? 0) + 1;
    const run = {tokens: prompt + (first - 1) * STRIDE, next: first, made: 0};
    const last = Math.ceil(most / STRIDE);
    this.runs.set(id, run);
    record(`${this.id} runs ${id} from event ${first}`);
    const backupKey = `${backup?.address}/${id}`;
    const end = () => {
      clearTimeout(run.timer);
      clearInterval(run.timer);
      if (this.runs.get(id) === run) this.runs.delete(id);
    };
    res.on('close', end);
    const begin = () => {
      if (this.isDown || res.destroyed) return;
      res.writeHead(200, {
        'Attempt-Id': id,
        'Server-Stamp': `3e1b.${this.id}`,
        'Content-Type': 'text/event-stream',
        'Weight-Versions': '1',
      });
      run.timer = setInterval(() => {
        if (run.next > last) {
          end();
          backup?.copies.delete(backupKey);
          for (const engine of enginesByAddress.values())
            engine.copies.delete(`${this.address}/${run.handle}`);
          res.end();
          return;
        }
        // The text goes on from the memory that the engine has.
        res.write(`id: ${run.next}\ndata: ${owner} ${run.next}\n\n`);
        run.next++;
        run.made++;
        run.tokens += STRIDE;
        if (backup !== undefined && !backup.isDown && run.handle === undefined)
          backup.copies.set(backupKey, {
            owner: id,
            tokens: run.tokens,
            made: run.made,
          });
      }, GAP_MS);
    };
    // Prompts differ a little, so that engines send their events at other times.
    const firstMs = 400 + (this.answers % 12) * 5;
    run.timer = setTimeout(begin, from === undefined ? firstMs : 30);
  }
}

const config = {
  version: 7,
  routes: [
    {
      name: 'r-5pa2yhv',
      hostname: HOST,
      path_prefix: '/lohu930/',
      route_type: 'streaming',
      timeout_ms: 25000,
      target_latency_ms: 4500,
      priority: 1,
      service: 'huvo11a',
      max_attempts: 5,
      public: false,
      session_affinity: true,
      stream_resume: true,
      itl_target_ms: 700,
    },
  ],
  services: [
    {
      name: 'huvo11a',
      health_check: '/healthz',
      max_connections: 180,
      protocol: 'h1',
      tls: false,
      engine: {
        slots: 16,
        kv_capacity_tokens: CAPACITY,
        kv_bytes: 163840,
        link_mbps: 130000,
        moves: true,
        backups: true,
        stride: STRIDE,
        most: 12,
        pin_ms: 4000,
        hold_ms: 2000,
        handle_ttl_s: 4,
        models: [{name: 'm'}],
      },
    },
  ],
  limits: {
    max_header_bytes: 16384,
    max_body_bytes: 4194304,
    header_timeout_ms: 3000,
    idle_timeout_ms: 15000,
  },
  tenants: [{name: 'huka270', api_keys: [KEY], priority: 1}],
};

let nextId = 0;
const answered = {whole: 0, failed: 0, foreign: 0};

/** Sends one stream and checks that all of its text is its own. */
function sendStream(entry, {prompt, events}) {
  const id = (0xa000000000 + ++nextId).toString(16);
  record(`client sends ${id}`);
  return new Promise((resolve) => {
    let text = '';
    const finish = (how) => {
      const seen = text.split('\n\n').filter((event) => event !== '');
      const isForeign = seen.some((event) => !event.includes(`data: ${id} `));
      if (isForeign) {
        answered.foreign++;
        violations.push(`${id} was given text of another request`);
      }
      const isWhole = how === 200 && seen.length === events;
      answered[isWhole ? 'whole' : 'failed']++;
      record(`client got ${id}: ${how}, ${seen.length} events`);
      resolve();
    };
    const req = http.request(
      {
        host: entry.host,
        port: entry.frontend,
        method: 'POST',
        path: '/lohu930/2f',
        agent: false,
        headers: {
          Host: HOST,
          'Attempt-Id': id,
          Model: 'm',
          'Token-Count': `${prompt},${events * STRIDE}`,
          'Prefix-Hash': `5c1e07a2:200,${id.slice(-8)}:${prompt - 200}`,
          'Deadline-Ms': '25000',
          Authorization: `Token ${KEY}`,
        },
      },
      (res) => {
        res.on('data', (chunk) => (text += chunk));
        res.on('end', () => finish(res.statusCode));
        res.on('error', () => finish('broken off'));
      },
    );
    req.on('error', () => finish('no answer'));
    req.end('x'.repeat(200));
  });
}

async function main() {
  const folder = temporaryFolder();
  const store = new Store();
  await store.start();
  store.put('config', 'main', config);
  const engines = Array.from({length: ENGINES}, (_, i) => new Engine(i));
  for (const engine of engines) {
    await engine.start();
    store.put('servers', engine.id, engine.registration());
  }
  const beat = setInterval(() => {
    for (const engine of engines) {
      if (engine.isDown) continue;
      engine.sequence++;
      store.put('servers', engine.id, engine.registration());
    }
  }, 1200);
  let entry;
  try {
    entry = await startEntry({
      store,
      name: 'edge-here-a-1',
      host: '127.0.0.1',
      zone: 'here-a',
      zones: ['here-a', 'here-b'],
      log: path.join(folder, 'entry.log'),
      folder,
    });
  } catch (cause) {
    clearInterval(beat);
    fs.writeFileSync(path.join(__dirname, 'record.txt'), `${cause}\n`);
    process.exit(2);
  }
  const clients = [];
  const send = (options) => clients.push(sendStream(entry, options));
  // The last engine is full of other entries' work at first, so that no copy
  // has room; when that ends, the entry has copies of the long streams made.
  const last = engines.at(-1);
  last.otherTokens = OTHERS_TOKENS;
  setTimeout(() => (last.otherTokens = 0), OTHERS_UNTIL_MS);
  for (let i = 0; i < LONG_STREAMS; i++) {
    send({prompt: 500, events: EVENTS});
    await sleep(10);
  }
  const at = (ms, run) => setTimeout(run, ms);
  if (TROUBLE) {
    let garbled = [];
    at(GARBLE_FROM_MS, () => {
      garbled = engines
        .slice(0, FIRST_ZONE)
        .sort((x, y) => y.runs.size - x.runs.size)
        .slice(0, Math.floor(ENGINES * GARBLED_SHARE));
      record(`garble begins at ${garbled.map(({id}) => id).join(' ')}`);
      for (const engine of garbled) engine.isGarbled = true;
      // All that is sent twice comes from the busiest of them.
      garbled[0].mayRepeat = true;
    });
    at(GARBLE_FROM_MS + GARBLE_FOR_MS, () => {
      record('garble ends');
      for (const engine of garbled) engine.isGarbled = false;
    });
    at(CRASH_AT_MS, () => {
      const [worst] = garbled;
      record(`${worst.id} crashes with ${worst.runs.size} runs`);
      worst.crash();
      // Its registration lapses after three heartbeats.
      setTimeout(() => store.remove('servers', worst.id), 3600);
    });
  }
  // Other clients, at an even rate.
  const until = Date.now() + 9000;
  while (Date.now() < until) {
    send({prompt: 1000, events: 10});
    await sleep(100);
  }
  await Promise.all(clients);
  clearInterval(beat);
  await stopEntry(entry);
  record(`answers: ${JSON.stringify(answered)}`);
  for (const engine of engines)
    record(`${engine.id}: ${engine.answers} answers, ${engine.extras} twice`);
  record(`garbled engines: ${dose.answers} answers, ${dose.extras} twice`);
  for (const violation of violations) record(violation);
  record(violations.length > 0 ? 'the rule was broken' : 'the rule held');
  fs.writeFileSync(path.join(__dirname, 'record.txt'), `${lines.join('\n')}\n`);
  if (process.env.KEEP !== undefined)
    fs.copyFileSync(path.join(folder, 'entry.log'), process.env.KEEP);
  fs.rmSync(folder, {recursive: true});
  const isAnswered = answered.whole > 0;
  process.exit(violations.length > 0 ? 1 : isAnswered ? 0 : 2);
}

main().catch((cause) => {
  fs.writeFileSync(path.join(__dirname, 'record.txt'), `${cause.stack}\n`);
  process.exit(2);
});

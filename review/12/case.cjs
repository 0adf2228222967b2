/** A prompt part that crashes engines, late in prompts of many parts. */
'use strict';
const http = require('node:http');
const rig = require('../rig-3.cjs');

/** Parts that all prompts share; the crashing part follows them. */
const SHARED_PARTS = Number(process.env.SHARED_PARTS ?? 17);
const ENGINES = 12;
const ENTRIES = 2;
/** Time until an engine that has crashed is back, with a new id. */
const BACK_MS = 3_000;
/** Three heartbeats, after which the store removes a silent server. */
const EXPIRY_MS = 3_600;
const PREFILL_MS = 100;
const EVENTS = 20;
const EVENT_MS = 60;
/** Sound streams and crashing ones, each at some entry. */
const SOUND_EVERY_MS = 150;
const CRASHING_EVERY_MS = 1_000;
const CALM_MS = 8_000;
const TROUBLE_MS = 40_000;
const CONTACT_MS = 3_000;
const DEADLINE_MS = 15_000;
const CRASHING_PART = 'dead0bad';

/** Times at which engines have crashed on the part. */
const crashes = [];
/** Arrivals of requests with the part: when, which, at which engine. */
const arrivals = [];
let mayGoOn = true;

/** A model server; each life has an id of its own. */
class Engine {
  constructor({index, store}) {
    Object.assign(this, {index, store, life: 0, isStopped: false});
  }

  async start() {
    this.id = `i-writer-${this.index}-${++this.life}`;
    this.sockets = new Set();
    this.running = new Map();
    this.born = Date.now();
    this.server = http.createServer((req, res) => this.handle(req, res));
    this.server.keepAliveTimeout = 30_000;
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => this.sockets.delete(socket));
    });
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
    let sequence = 1;
    const beat = () =>
      this.store.put('servers', this.id, {
        service: 'writers',
        address: this.address,
        zone: `zone-${'abc'[this.index % 3]}`,
        version: 'v1',
        slots: 16,
        state: 'ready',
        warmup_left_ms: 0,
        sequence: sequence++,
        born: this.born,
      });
    beat();
    this.timer = setInterval(beat, 1_200);
  }

  handle(req, res) {
    req.resume();
    req.on('error', () => undefined);
    res.on('error', () => undefined);
    req.on('end', () => {
      if (req.url === '/-/report') this.report(res);
      else if (req.url === '/healthz') {
        res.writeHead(200, {'Instance-Id': this.id, 'Content-Length': 0});
        res.end();
      } else if (req.headers['expect-instance'] !== this.id) {
        res.writeHead(421, {
          'Attempt-Id': req.headers['attempt-id'],
          'Instance-Id': this.id,
          'Not-Executed': '1',
        });
        res.end();
      } else this.generate(req, res);
    });
  }

  report(res) {
    const runs = [...this.running].map(([id, made]) => [id, 500, made, 5]);
    const body = JSON.stringify({
      stage: 'mixed',
      models: [],
      busy: false,
      sequence: 1,
      queued: 0,
      active: this.running.size,
      kv_used: 500 * this.running.size,
      kv_total: 55_000,
      handles: 0,
      born: this.born,
      runs,
    });
    res.writeHead(200, {
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(body),
    });
    res.end(body);
  }

  generate(req, res) {
    const id = req.headers['attempt-id'];
    const isCrashing = req.headers['prefix-hash'].includes(CRASHING_PART);
    if (isCrashing) arrivals.push({atMs: Date.now(), id, engine: this.id});
    let made = Number(req.headers['last-event-id'] ?? 0);
    this.running.set(id, made);
    const end = () => {
      clearTimeout(timer);
      this.running.delete(id);
    };
    res.on('close', end);
    const write = () => {
      if (res.destroyed) return;
      made++;
      this.running.set(id, made);
      res.write(`id: ${made}\ndata: ${id} ${made}\n\n`);
      if (made >= EVENTS) res.end();
      else timer = setTimeout(write, EVENT_MS);
    };
    let timer = setTimeout(() => {
      if (isCrashing) {
        this.crash();
        return;
      }
      res.writeHead(200, {
        'Attempt-Id': id,
        'Server-Stamp': `stamp.${this.id}`,
        'Content-Type': 'text/event-stream',
      });
      write();
    }, PREFILL_MS);
  }

  /** Sends nothing more; its store entry goes after three heartbeats. */
  crash() {
    if (this.isStopped) return;
    crashes.push(Date.now());
    this.close();
    const {id} = this;
    setTimeout(() => this.store.remove('servers', id), EXPIRY_MS);
    setTimeout(() => {
      if (!this.isStopped) this.start();
    }, BACK_MS);
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  stop() {
    this.isStopped = true;
    this.close();
  }
}

function desiredState() {
  const state = rig.desiredState();
  const route = {
    ...state.routes[0],
    route_type: 'streaming',
    service: 'writers',
    timeout_ms: 20_000,
    target_latency_ms: 4_500,
    max_attempts: 5,
    itl_target_ms: 700,
    session_affinity: true,
  };
  state.routes.push(
    {...route, name: 'drafts', path_prefix: '/drafts/', stream_resume: true},
    {...route, name: 'notes', path_prefix: '/notes/', stream_resume: false},
  );
  state.services.push({
    name: 'writers',
    health_check: '/healthz',
    max_connections: 180,
    engine: {slots: 16, kv_capacity_tokens: 55_000, stride: 1},
  });
  return state;
}

/** Parts with ids and tokens; the last one belongs to the request alone. */
function promptOf(own, hasCrashingPart) {
  const parts = [];
  for (let i = 0; i < SHARED_PARTS; i++) parts.push(`5a${i.toString(16)}f:20`);
  if (hasCrashingPart) parts.push(`${CRASHING_PART}:20`);
  parts.push(`${own.toString(16)}c0:20`);
  return parts.join(',');
}

function stream({entry, id, url, prompt}) {
  return new Promise((resolve) => {
    const seen = {id, url, status: undefined, events: 0, isComplete: false};
    const body = Buffer.from(`prompt of ${id}`);
    const req = http.request(
      {
        ...entry.frontend,
        agent: false,
        method: 'POST',
        path: url,
        headers: {
          Host: rig.HOST,
          'Attempt-Id': id,
          'Deadline-Ms': String(DEADLINE_MS),
          Authorization: `Token ${rig.KEY}`,
          Model: 'm',
          'Token-Count': '400,60',
          'Prefix-Hash': prompt,
          'Content-Length': body.length,
        },
      },
      (res) => {
        seen.status = res.statusCode;
        res.on('data', (chunk) => {
          seen.events += String(chunk).split('\n\n').length - 1;
        });
        res.on('error', () => undefined);
        res.on('close', () => {
          seen.isComplete = res.complete;
          resolve(seen);
        });
      },
    );
    req.on('error', () => resolve(seen));
    req.end(body);
  });
}

async function play({dir, record, hasTrouble, keep}) {
  const store = keep(new rig.Store());
  await store.start();
  store.put('config', 'main', desiredState());
  for (let i = 0; i < ENGINES; i++)
    await keep(new Engine({index: i, store})).start();
  const entries = [];
  for (let i = 0; i < ENTRIES; i++) {
    const entry = keep(new rig.Entry({name: `edge-a-${i + 1}`, store, dir}));
    await entry.start();
    entries.push(entry);
  }
  record.line(`prompts share ${SHARED_PARTS} parts`);
  let count = 0;
  const sent = [];
  const send = (kind, url, hasCrashingPart) => {
    const own = ++count;
    const startMs = Date.now();
    const entry = entries[own % ENTRIES];
    const prompt = promptOf(own, hasCrashingPart);
    const seen = stream({entry, id: `${kind}-${own}`, url, prompt});
    sent.push(seen.then((result) => ({...result, kind, startMs})));
  };
  const sound = async () => {
    for (let i = 0; mayGoOn; i++) {
      send('sound', i % 2 === 0 ? '/drafts/1' : '/notes/1', false);
      await rig.sleep(SOUND_EVERY_MS);
    }
  };
  const crashing = async () => {
    while (mayGoOn) {
      send('crashing', '/drafts/1', true);
      await rig.sleep(CRASHING_EVERY_MS);
    }
  };
  const loops = [sound()];
  await rig.sleep(CALM_MS);
  if (hasTrouble) {
    record.line('requests with the crashing part begin');
    loops.push(crashing());
  }
  await rig.sleep(TROUBLE_MS);
  mayGoOn = false;
  await Promise.all(loops);
  const all = await Promise.all(sent);
  const fromMs = (crashes[4] ?? Infinity) + CONTACT_MS;
  record.line(`${crashes.length} crashes on the part`);
  const late = arrivals.filter(({atMs}) => atMs > fromMs);
  for (const {atMs, id, engine} of late)
    record.line(`${id} reached ${engine} ${atMs - fromMs} ms too late`);
  const lateIds = new Set(late.map(({id}) => id));
  const isAfter = ({startMs}) => startMs > fromMs;
  for (const url of ['/drafts/1', '/notes/1']) {
    const ofRoute = all.filter((r) => r.kind === 'sound' && r.url === url);
    const after = ofRoute.filter(isAfter);
    const cut = after.filter((r) => r.events > 0 && !r.isComplete);
    const whole = after.filter((r) => r.isComplete && r.events >= EVENTS);
    record.line(
      `${url}: ${ofRoute.length} sound streams, ${after.length} of them sent ` +
        `since: ${whole.length} whole, ${cut.length} cut off`,
    );
  }
  record.line(`${late.length} arrivals of ${lateIds.size} requests since then`);
  return lateIds.size > 3;
}

rig.runCase({folder: __dirname, play});

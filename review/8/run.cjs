/**
 * A key is taken away. Six seconds later, under the disruption, the store comes
 * back from a copy without that change while one entry starts again.
 */
'use strict';
const fs = require('node:fs');
const http = require('node:http');
const path = require('node:path');
const {
  BOUNDS,
  Store,
  answerForServer,
  keepRegistered,
  launch,
  listen,
  readBody,
  sleep,
  startEntry,
  stopEntry,
  temporaryFolder,
} = require('../fleet-2.cjs');

const TROUBLE = process.env.TROUBLE !== '0';
const HOST = 'ficu95.example';
const KEPT_KEY = 'kept0key0of0tenant01';
const TAKEN_KEY = 'taken0key0of0tenant1';
/** Age of the copy, and the time for which the store is away. */
const COPY_AGE_MS = 7000;
const AWAY_MS = 800;
/** Time after its return in which the operator writes again. */
const WRITTEN_AGAIN_MS = 1000;

const started = Date.now();
const lines = [];
function record(text) {
  const at = ((Date.now() - started) / 1000).toFixed(3);
  lines.push(`${at} ${text}`);
}
const sent = new Map();
const violations = [];
let takenAwayAtMs = Infinity;

function createDesk(id) {
  return http.createServer(async (req, res) => {
    await readBody(req).catch(() => undefined);
    if (answerForServer(req, res, id)) return;
    const attempt = req.headers['attempt-id'];
    const request = sent.get(attempt);
    if (request !== undefined) {
      const lateMs = request.atMs - takenAwayAtMs;
      if (request.key === TAKEN_KEY && lateMs > BOUNDS.revoke_ms) {
        violations.push(attempt);
        record(
          `${id} runs ${attempt}, sent at ${request.entry.name} with the key ` +
            `that was taken away ${lateMs} ms before`,
        );
      }
    }
    res.writeHead(200, {
      'Attempt-Id': attempt ?? '',
      'Server-Stamp': `3e1b.${id}`,
      'Instance-Id': id,
      'Content-Length': 2,
    });
    res.end('ok');
  });
}

function configOf(version, keys) {
  return {
    version,
    routes: [
      {
        name: 'r-order',
        hostname: HOST,
        path_prefix: '/pule252/',
        route_type: 'unsafe',
        timeout_ms: 1000,
        target_latency_ms: 121,
        priority: 2,
        service: 'wuno96b',
        max_attempts: 1,
        public: false,
      },
    ],
    services: [
      {
        name: 'wuno96b',
        health_check: '/healthz',
        max_connections: 110,
        protocol: 'h1',
        tls: false,
      },
    ],
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 4194304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15000,
    },
    tenants: [{name: 'huka270', api_keys: keys, priority: 1}],
  };
}

const answers = new Map();
let nextId = 0;

function send(entry, key) {
  const id = (0xc000000000 + ++nextId).toString(16);
  sent.set(id, {entry, key, atMs: Date.now()});
  const count = (how) => {
    const name = key === TAKEN_KEY ? 'taken' : 'kept';
    const label = `${entry.name} ${name} key: ${how}`;
    answers.set(label, (answers.get(label) ?? 0) + 1);
  };
  const req = http.request(
    {
      host: entry.host,
      port: entry.frontend,
      method: 'POST',
      path: '/pule252/2f',
      agent: false,
      timeout: 2000,
      headers: {
        Host: HOST,
        'Attempt-Id': id,
        'Deadline-Ms': '1000',
        Authorization: `Token ${key}`,
      },
    },
    (res) => {
      res.resume();
      count(res.statusCode);
    },
  );
  req.on('timeout', () => req.destroy());
  req.on('error', () => count('no answer'));
  req.end('order');
}

async function main() {
  const folder = temporaryFolder();
  const store = new Store();
  await store.start();
  const before = configOf(7, [KEPT_KEY, TAKEN_KEY]);
  const after = configOf(9, [KEPT_KEY]);
  store.put('config', 'main', before);
  const desks = [];
  for (let i = 0; i < 3; i++) {
    const id = `i-${(0xd0000 + i).toString(16)}`;
    const port = await listen(createDesk(id));
    desks.push({
      id,
      spec: {
        service: 'wuno96b',
        address: `127.0.0.1:${port}`,
        zone: 'here-a',
        version: 'v1',
        slots: 6,
        state: 'ready',
        warmup_left_ms: 0,
        born: Date.now(),
      },
    });
  }
  const register = keepRegistered(store, desks);
  const entries = [];
  let exit = 2;
  let clients;
  try {
    for (const number of [1, 2])
      entries.push(
        await startEntry({
          store,
          name: `edge-here-a-${number}`,
          host: `127.0.0.${number}`,
          zone: 'here-a',
          zones: ['here-a'],
          log: path.join(folder, `entry-${number}.log`),
          folder,
        }),
      );
    clients = setInterval(() => {
      for (const entry of entries) {
        send(entry, KEPT_KEY);
        send(entry, TAKEN_KEY);
      }
    }, 50);
    await sleep(2000);
    const copy = store.copy();
    await sleep(1000);
    store.put('config', 'main', after);
    takenAwayAtMs = Date.now();
    record('the store has accepted version 9, without one of the keys');
    await sleep(COPY_AGE_MS - 1000);
    const [, second] = entries;
    record(`${second.name} is killed and starts again`);
    const ended = stopEntry(second);
    if (TROUBLE) {
      store.leave();
      record('the store is away');
    }
    await ended;
    const isUp = launch(second);
    await sleep(AWAY_MS);
    if (TROUBLE) {
      store.comeBack(copy);
      record(`the store is back from a copy ${COPY_AGE_MS} ms old, era 2`);
      register();
      await sleep(WRITTEN_AGAIN_MS);
      store.put('config', 'main', after);
      record('the operator has written version 9 again');
    }
    await isUp;
    await sleep(4000);
    clearInterval(clients);
    await sleep(1500);
    for (const [label, count] of answers) record(`${label}: ${count}`);
    record(`${violations.length} requests ran with the key taken away`);
    exit = violations.length > 0 ? 1 : 0;
    record(exit === 1 ? 'the rule was broken' : 'the rule held');
  } catch (cause) {
    record(`could not run: ${cause}`);
  }
  clearInterval(clients);
  if (process.env.KEEP !== undefined)
    fs.copyFileSync(path.join(folder, 'entry-2.log'), process.env.KEEP);
  for (const entry of entries) await stopEntry(entry);
  fs.rmSync(folder, {recursive: true});
  fs.writeFileSync(path.join(__dirname, 'record.txt'), `${lines.join('\n')}\n`);
  process.exit(exit);
}

main();

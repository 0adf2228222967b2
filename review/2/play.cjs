'use strict';
/** Bytes without end in the body of a call's answer, until the caller closes. */
const {fork} = require('node:child_process');
const http = require('node:http');
const path = require('node:path');
const lib = require('../site.cjs');
const {Entry, Store, TargetServer} = lib;
const {desiredState, now, runCase, send, sleep} = lib;

const KEY = 'key-a';
const PLAY_MS = 40_000;
const SERVERS = 4;
/** Share of the servers that are in trouble, and of their answers (0.03). */
const FAULTY = 2;
const EVERY = 34;
const CLIENTS = 16;
const BUDGET_MS = 1_500;
/** More lost requests break the rule. */
const ALLOWED = 3;

const ROUTE = {
  name: 'orders',
  path_prefix: '/orders/',
  route_type: 'unsafe',
  service: 'desk',
  timeout_ms: BUDGET_MS,
  target_latency_ms: 386,
};

/** Starts a faulty server in a process of its own, and registers it. */
async function startFaulty(id, {store, started, record, isTroubled}) {
  const child = fork(path.join(__dirname, '..', 'endless-server.cjs'));
  started.push({stop: () => child.disconnect()});
  const entry = await new Promise((resolve) => {
    child.on('message', ({type, id: request, entry: wire, sent}) => {
      if (type === 'ready') resolve(wire);
      else if (type === 'run') record.note(`${id} runs ${request}`);
      else if (type === 'endless')
        record.log(`${id} answers ${request} with a body without end`);
      else if (type === 'closed')
        record.log(
          `${id}: the channel of ${request} is closed after ${sent} bytes`,
        );
    });
    const place = {id, service: 'desk', zone: 'zone-a', workMs: 60};
    child.send({...place, every: EVERY, head: 'success', isTroubled});
  });
  let {sequence} = entry;
  const beat = () => store.put('servers', id, {...entry, sequence: ++sequence});
  beat();
  const timer = setInterval(beat, 1_200);
  started.push({stop: () => clearInterval(timer)});
}

runCase(__dirname, async (site) => {
  const {record, started, folder} = site;
  const store = new Store();
  await store.start();
  started.push(store);
  const services = [{name: 'desk', max_connections: 110}];
  store.put(
    'config',
    'main',
    desiredState({version: 7, keys: [KEY], routes: [ROUTE], services}),
  );
  /** Requests that sound servers have begun to run. */
  const atSound = new Set();
  for (let i = 1; i <= SERVERS; i++) {
    const id = `i-desk-${i}`;
    if (i <= FAULTY) {
      await startFaulty(id, {...site, store});
      continue;
    }
    const server = new TargetServer({
      id,
      service: 'desk',
      zone: 'zone-a',
      workMs: 60,
    });
    server.onRun = (run) => atSound.add(run.id);
    await server.start();
    started.push(server);
    server.register(store);
  }

  const entry = new Entry({name: 'edge-1', store, record, folder});
  await entry.prepare();
  started.push(entry);
  let isOver = false;
  let ends = 0;
  const run = () => {
    entry.exit = undefined;
    entry.lines = [];
    entry.start();
    void entry.exited.then(async ({code, signal}) => {
      if (isOver) return;
      ends++;
      const why = /FATAL ERROR: .*/.exec(entry.lines.join(''))?.[0] ?? '';
      record.log(
        `edge-1 has ended by itself: status ${code}, signal ${signal}. ${why}`,
      );
      // The platform starts it again after a short delay.
      await sleep(500);
      if (!isOver) run();
    });
  };
  run();
  if (!(await entry.untilReady())) throw new Error('the entry is not ready');
  record.log('edge-1 is ready');

  const endMs = now() + PLAY_MS;
  const counts = {};
  const lost = [];
  const client = async (name) => {
    const agent = new http.Agent({keepAlive: true, maxSockets: 1});
    for (let i = 1; now() < endMs; i++) {
      const id = `order-${name}-${i}`;
      const order = {
        entry,
        id,
        key: KEY,
        agent,
        path: '/orders/1',
        body: 'order',
      };
      const {status, end, isWhole, isKept} = await send({
        ...order,
        deadlineMs: BUDGET_MS,
      });
      const answer = isWhole ? String(status) : end;
      counts[answer] = (counts[answer] ?? 0) + 1;
      if (!isWhole && isKept && !/gave up/.test(end) && atSound.has(id)) {
        record.log(
          `client of ${id}, on a kept channel: ${end}; a sound server had it`,
        );
        lost.push(id);
      }
      await sleep(40);
    }
    agent.destroy();
  };
  await Promise.all(Array.from({length: CLIENTS}, (_, i) => client(i + 1)));
  isOver = true;
  record.log(`answers: ${JSON.stringify(counts)}`);
  record.log(
    `edge-1 ended by itself ${ends} times; ${lost.length} requests lost at sound servers`,
  );
  if (lost.length <= ALLOWED) return [];
  return [`LOST ${lost.length} requests; edge-1 ended by itself ${ends} times`];
});

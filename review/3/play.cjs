'use strict';
/** Bytes without end in the body of a stream, until the caller closes. */
const {fork} = require('node:child_process');
const http = require('node:http');
const path = require('node:path');
const lib = require('../site.cjs');
const {ENGINE, Entry, Store, TargetServer} = lib;
const {desiredState, now, runCase, send, sleep} = lib;

const KEY = 'key-a';
const PLAY_MS = 40_000;
const ENGINES = 4;
/** Share of the engines that are in trouble, and of their answers (0.03). */
const FAULTY = 2;
const EVERY = 34;
const STREAM_GAP_MS = 150;
const ORDER_CLIENTS = 12;
/** More of them break the rule. */
const ALLOWED = 3;

const ROUTES = [
  {
    name: 'drafts',
    path_prefix: '/drafts/',
    route_type: 'streaming',
    service: 'writers',
    timeout_ms: 25_000,
    max_attempts: 5,
    stream_resume: true,
    session_affinity: true,
    itl_target_ms: 700,
  },
  {
    name: 'orders',
    path_prefix: '/orders/',
    route_type: 'unsafe',
    service: 'desk',
    timeout_ms: 1_500,
    target_latency_ms: 386,
  },
];

/** Starts an engine in a process of its own; resolves to its registration. */
function startEngine(options, {started, record, onRun}) {
  const child = fork(path.join(__dirname, '..', 'endless-engine.cjs'));
  started.push({stop: () => child.disconnect()});
  return new Promise((resolve) => {
    child.on('message', ({type, id, entry, sent}) => {
      if (type === 'ready') resolve(entry);
      else if (type === 'run') {
        record.note(`${options.id} runs ${id}`);
        onRun(id);
      } else if (type === 'endless')
        record.log(
          `${options.id} sends line breaks without end as the answer to ${id}`,
        );
      else
        record.log(
          `${options.id}: the channel of ${id} is closed after ${sent} bytes`,
        );
    });
    child.send(options);
  });
}

runCase(__dirname, async ({record, isTroubled, started, folder}) => {
  const store = new Store();
  await store.start();
  started.push(store);
  const services = [
    {name: 'writers', max_connections: 180, engine: ENGINE},
    {name: 'desk', max_connections: 110},
  ];
  store.put(
    'config',
    'main',
    desiredState({version: 7, keys: [KEY], routes: ROUTES, services}),
  );

  /** Requests that sound servers have begun to run. */
  const atSound = new Set();
  for (let i = 1; i <= ENGINES; i++) {
    const isFaulty = i <= FAULTY;
    const options = {
      ...{id: `i-writer-${i}`, service: 'writers', zone: 'zone-a'},
      ...{
        events: 130,
        gapMs: 35,
        every: EVERY,
        isTroubled: isTroubled && isFaulty,
      },
    };
    const onRun = (id) => isFaulty || atSound.add(id);
    const entry = await startEngine(options, {started, record, onRun});
    let {sequence} = entry;
    const beat = () =>
      store.put('servers', options.id, {...entry, sequence: ++sequence});
    beat();
    const timer = setInterval(beat, 1_200);
    started.push({stop: () => clearInterval(timer)});
  }
  for (const id of ['i-desk-1', 'i-desk-2']) {
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
  const run = () => {
    entry.exit = undefined;
    entry.lines = [];
    entry.start();
    void entry.exited.then(async ({code, signal}) => {
      if (isOver) return;
      const why = /FATAL ERROR: .*/.exec(entry.lines.join(''))?.[0] ?? '';
      record.log(
        `edge-1 has ended by itself: status ${code}, signal ${signal}. ${why}`,
      );
      ends++;
      // The platform starts it again after a short delay.
      await sleep(500);
      if (!isOver) run();
    });
  };
  let isOver = false;
  let ends = 0;
  run();
  if (!(await entry.untilReady())) throw new Error('the entry is not ready');
  record.log('edge-1 is ready');

  const endMs = now() + PLAY_MS;
  const counts = {};
  const lost = [];
  const check = ({id, status, end, isWhole, isKept}) => {
    const answer = isWhole ? String(status) : end;
    const key = `${id.split('-')[0]}: ${answer}`;
    counts[key] = (counts[key] ?? 0) + 1;
    if (isWhole || !isKept || /gave up/.test(end) || !atSound.has(id)) return;
    record.log(
      `client of ${id}, on a kept channel: ${end}; a sound server had it`,
    );
    lost.push(id);
  };
  const orders = async (client) => {
    const agent = new http.Agent({keepAlive: true, maxSockets: 1});
    for (let i = 1; now() < endMs; i++) {
      const id = `order-${client}-${i}`;
      const order = {
        entry,
        id,
        key: KEY,
        agent,
        path: '/orders/1',
        body: 'order',
      };
      check(await send({...order, deadlineMs: 1_500}));
      await sleep(40);
    }
    agent.destroy();
  };
  const streams = async () => {
    const open = [];
    const agent = new http.Agent({keepAlive: true});
    for (let i = 1; now() < endMs; i++) {
      const id = `stream-${i}`;
      const headers = {
        Model: 'm',
        'Token-Count': '400,180',
        'Prefix-Hash': `aa:200,${i}:200`,
      };
      const request = {
        entry,
        id,
        key: KEY,
        agent,
        headers,
        path: '/drafts/1',
        body: id,
      };
      open.push(send({...request, deadlineMs: 10_000}).then(check));
      await sleep(STREAM_GAP_MS);
    }
    await Promise.all(open);
    agent.destroy();
  };
  const clients = Array.from({length: ORDER_CLIENTS}, (_, i) => orders(i + 1));
  await Promise.all([...clients, streams()]);
  isOver = true;

  record.log(`answers: ${JSON.stringify(counts)}`);
  record.log(
    `edge-1 ended by itself ${ends} times; ${lost.length} requests lost at sound servers`,
  );
  if (lost.length <= ALLOWED) return [];
  return [`LOST ${lost.length} requests; edge-1 ended by itself ${ends} times`];
});

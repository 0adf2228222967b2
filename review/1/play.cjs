'use strict';
/** Bytes without end in the body of a rejection, until the caller closes. */
const {fork} = require('node:child_process');
const http = require('node:http');
const path = require('node:path');
const lib = require('../site.cjs');
const {BOUNDS, Entry, Store} = lib;
const {desiredState, now, runCase, send, sleep} = lib;

const KEY = 'key-a';
const SERVERS = 4;
/** Share of the servers that are in trouble, and of their answers (0.03). */
const FAULTY = 2;
const EVERY = 34;
const CLIENTS = 24;
/** The time budget of a client. */
const BUDGET_MS = 1_500;
/** Length of the trouble, and of the time after it that is judged. */
const TROUBLE_MS = 30_000;
const JUDGED_MS = 12_000;
/** A final answer is due so long after the route's time-out. */
const SLACK_MS = 500;
const MIN_COUNT = 8;
const MAX_SHARE = 0.25;

const ROUTE = {
  name: 'orders',
  path_prefix: '/orders/',
  route_type: 'unsafe',
  service: 'desk',
  timeout_ms: 800,
  target_latency_ms: 386,
};

/** Starts a server in a process of its own, and registers it. */
async function startServer(options, {store, started, record}) {
  const child = fork(path.join(__dirname, '..', 'endless-server.cjs'));
  started.push({stop: () => child.disconnect()});
  const entry = await new Promise((resolve) => {
    child.on('message', ({type, id, entry: wire, sent}) => {
      if (type === 'ready') resolve(wire);
      else if (type === 'run') record.note(`${options.id} runs ${id}`);
      else if (type === 'endless')
        record.log(`${options.id} sheds ${id} with a body without end`);
      else if (type === 'closed')
        record.log(
          `${options.id}: the caller closes the channel of ${id} after ${sent} bytes`,
        );
    });
    child.send(options);
  });
  let {sequence} = entry;
  const beat = () =>
    store.put('servers', options.id, {...entry, sequence: ++sequence});
  beat();
  const timer = setInterval(beat, 1_200);
  started.push({stop: () => clearInterval(timer)});
  return child;
}

runCase(__dirname, async ({record, isTroubled, started, folder}) => {
  const store = new Store();
  await store.start();
  started.push(store);
  const services = [{name: 'desk', max_connections: 110}];
  store.put(
    'config',
    'main',
    desiredState({version: 7, keys: [KEY], routes: [ROUTE], services}),
  );
  const servers = [];
  for (let i = 1; i <= SERVERS; i++) {
    const isFaulty = isTroubled && i <= FAULTY;
    const options = {
      id: `i-desk-${i}`,
      service: 'desk',
      zone: 'zone-a',
      workMs: 20,
    };
    const troubled = {
      ...options,
      every: EVERY,
      head: 'shed',
      isTroubled: isFaulty,
    };
    servers.push(await startServer(troubled, {store, started, record}));
  }
  const entry = new Entry({name: 'edge-1', store, record, folder});
  await entry.prepare();
  started.push(entry);
  entry.start();
  if (!(await entry.untilReady())) throw new Error('the entry is not ready');
  record.log('edge-1 is ready');

  const beganMs = now();
  const judgedFromMs = beganMs + TROUBLE_MS + BOUNDS.contact_ms;
  const endMs = judgedFromMs + JUDGED_MS;
  setTimeout(() => {
    record.log('the trouble ends: no more such answers');
    for (const server of servers) server.send('trouble ends');
  }, TROUBLE_MS);

  const counts = {before: {}, judged: {}};
  const judged = [];
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
      const result = await send({...order, deadlineMs: BUDGET_MS});
      const {status, end, sentMs, endMs: answeredMs, isWhole} = result;
      const isJudged = sentMs >= judgedFromMs;
      const answer = isWhole ? String(status) : end;
      const group = isJudged ? counts.judged : counts.before;
      group[answer] = (group[answer] ?? 0) + 1;
      if (isJudged) judged.push({isWhole, heldMs: answeredMs - sentMs});
      await sleep(50);
    }
    agent.destroy();
  };
  const ready = {yes: 0, no: 0};
  const watchReady = async () => {
    while (now() < endMs) {
      await sleep(1_000);
      if (now() < judgedFromMs) continue;
      ready[(await entry.isReady()) ? 'yes' : 'no']++;
    }
  };
  const clients = Array.from({length: CLIENTS}, (_, i) => client(i + 1));
  await Promise.all([...clients, watchReady()]);

  record.log(
    `answers until the machine is in touch again: ${JSON.stringify(counts.before)}`,
  );
  record.log(`answers from then on: ${JSON.stringify(counts.judged)}`);
  record.log(`its readiness, asked once a second: ${JSON.stringify(ready)}`);
  const long = judged.filter(({heldMs}) => heldMs > ROUTE.timeout_ms);
  const late = long.filter(
    ({isWhole, heldMs}) => !isWhole || heldMs > ROUTE.timeout_ms + SLACK_MS,
  );
  record.log(
    `${judged.length} orders judged, ${long.length} longer than their time-out, ${late.length} without an answer in time`,
  );
  const isBroken =
    late.length >= MIN_COUNT && late.length > long.length * MAX_SHARE;
  return isBroken
    ? [`CONFIG ${late.length} of ${long.length} orders without a final answer`]
    : [];
});

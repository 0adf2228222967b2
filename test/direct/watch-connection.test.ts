/** Watches between entries, over real connections. */
import {connect} from 'node:net';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {SeededRandom, SystemClock} from '../../src/core/clock/index.js';
import type {HelloMessage, Message} from '../../src/core/protocol/index.js';
import {
  encodeFrame,
  MessageType,
  PeerRole,
  PeerServer,
  PROTOCOL_VERSION,
  WatchOutcome,
} from '../../src/core/protocol/index.js';
import {ChangeLog} from '../../src/core/relay/index.js';
import {MAX_SILENCE_MS} from '../../src/direct/relay/consts.js';
import {WatchClient} from '../../src/direct/relay/watch-client.js';
import {WatchServer} from '../../src/direct/relay/watch-server.js';
import {sleep} from '../support/poison-scenario.js';
import {silentSupervisor} from '../support/supervisor.js';

const KIND = 'config';
const READER = 'edge-1';
const SEED = 20261204;

/** Longer than a client takes to notice silence, in milliseconds. */
const NOTICED_MS = MAX_SILENCE_MS + 700;

/** Longest answer of an entry that does not read the kind, in milliseconds. */
const NOT_READ_MS = 800;

const clock = new SystemClock();
const random = new SeededRandom(SEED);

const helloOf = (vm: string): HelloMessage => ({
  type: MessageType.HELLO,
  protocol: PROTOCOL_VERSION,
  role: PeerRole.ENTRY,
  vm,
  incarnation: 'i1',
  dataCentre: 'a',
});

describe('a watch', () => {
  let log: ChangeLog;
  let server: WatchServer;
  let port: number;
  let asked: number;
  let mayRead: boolean;
  const clients: WatchClient[] = [];

  beforeEach(async () => {
    log = new ChangeLog({clock});
    server = new WatchServer({
      hello: helloOf(READER),
      logs: new Map([[KIND, log]]),
      clock,
      supervisor: silentSupervisor(clock),
      onAsked: () => asked++,
      onPermitAsked: () => undefined,
      mayRead: () => mayRead,
    });
    asked = 0;
    mayRead = true;
    const at = {address: '127.0.0.1', port: 0};
    port = (await server.listen(at))._unsafeUnwrap();
    log.startReading(40);
    append(41, 'first');
  });

  afterEach(() => {
    for (const client of clients.splice(0)) client.close();
    server.close();
  });

  const append = (revision: number, value?: unknown) => {
    const change = {name: 'main', value, isDeleted: false};
    const changes = value === undefined ? [] : [change];
    log.append({changes, revision, currentAtMs: clock.now()});
    server.publish(KIND);
  };

  const createClient = (vm = READER, toPort = port) => {
    const client = new WatchClient({
      entry: {vm, dataCentre: 'a', address: `127.0.0.1:${toPort}`},
      hello: helloOf('edge-2'),
      clock,
      supervisor: silentSupervisor(clock),
      random,
    });
    clients.push(client);
    return client;
  };

  it('is answered at once with the changes that the entry lacks', async () => {
    const answer = await createClient().watch(KIND, {since: 40, waitMs: 2_000});
    expect(answer?.message).toMatchObject({
      outcome: WatchOutcome.OK,
      revision: 41,
      changes: [{name: 'main', value: 'first', isDeleted: false}],
    });
  });

  it('is answered with a later change, and with an age that covers it', async () => {
    const client = createClient();
    const pending = client.watch(KIND, {since: 41, waitMs: 2_000});
    await sleep(100);
    const readAtMs = clock.now();
    append(42, 'second');
    const answer = (await pending)!;
    expect(answer.message.changes[0]?.value).toBe('second');
    const currentAtMs = answer.sentAtMs + answer.message.currentOffsetMs!;
    // Never later than the read, however long the answer took.
    expect(currentAtMs).toBeLessThanOrEqual(readAtMs + 5);
    expect(currentAtMs).toBeGreaterThan(readAtMs - 100);
  });

  it('waits for an entry that is ahead of its reader', async () => {
    const pending = createClient().watch(KIND, {since: 45, waitMs: 2_000});
    await sleep(50);
    append(44, 'earlier');
    await sleep(50);
    append(46, 'later');
    const answer = await pending;
    expect(answer?.message.revision).toBe(46);
    expect(answer?.message.changes).toHaveLength(1);
  });

  it('never takes an entry back to an earlier revision', async () => {
    const answer = await createClient().watch(KIND, {since: 45, waitMs: 100});
    const outcome = WatchOutcome.BEHIND;
    expect(answer?.message).toMatchObject({outcome, changes: [], revision: 45});
  });

  it.each([
    {name: 'of another kind', kind: 'other', act: () => undefined},
    {
      name: 'after the reads have failed',
      kind: KIND,
      act: () => (mayRead = false),
    },
  ])('$name is answered as not read', async ({kind, act}) => {
    act();
    const answer = await createClient().watch(kind, {since: 41, waitMs: 1_000});
    expect(answer?.message.outcome).toBe(WatchOutcome.NOT_READING);
  });

  it('does not make an entry read that the store turns away', async () => {
    mayRead = false;
    await createClient().watch(KIND, {since: 41, waitMs: 1_000});
    expect(asked).toBe(0);
  });

  it('ends when the reads fail while it waits', async () => {
    const pending = createClient().watch(KIND, {since: 41, waitMs: 2_000});
    await sleep(50);
    log.stopReading();
    mayRead = false;
    server.publish(KIND);
    expect((await pending)?.message.outcome).toBe(WatchOutcome.NOT_READING);
  });

  it('makes the entry read a kind that it does not read yet', async () => {
    log.stopReading();
    const pending = createClient().watch(KIND, {since: 41, waitMs: 2_000});
    await sleep(50);
    expect(asked).toBe(1);
    log.startReading(41);
    append(42, 'second');
    expect((await pending)?.message.changes[0]?.value).toBe('second');
  });

  it('waits for the end of a read that it has caused', async () => {
    log.stopReading();
    const pending = createClient().watch(KIND, {since: 60, waitMs: 3_000});
    await sleep(50);
    log.startReading(60);
    await sleep(NOT_READ_MS);
    append(61, 'second');
    expect((await pending)?.message.changes[0]?.value).toBe('second');
  });

  it('ends early if the entry does not begin to read', async () => {
    log.stopReading();
    const startedMs = clock.now();
    const answer = await createClient().watch(KIND, {since: 41, waitMs: 5_000});
    expect(answer?.message.outcome).toBe(WatchOutcome.BEHIND);
    expect(clock.now() - startedMs).toBeLessThan(NOT_READ_MS);
  });

  it('tells nothing if the first read has not ended within the wait', async () => {
    log.startReading(60);
    const answer = await createClient().watch(KIND, {since: 60, waitMs: 100});
    expect(answer?.message.outcome).toBe(WatchOutcome.BEHIND);
  });

  it('has no answer from a VM that was given the address of another', async () => {
    const answer = await createClient('edge-9').watch(KIND, {
      since: 40,
      waitMs: 500,
    });
    expect(answer).toBeUndefined();
  });

  it('has no answer if nobody listens', async () => {
    server.close();
    await sleep(20);
    const startedMs = clock.now();
    const answer = await createClient().watch(KIND, {since: 40, waitMs: 5_000});
    expect(answer).toBeUndefined();
    expect(clock.now() - startedMs).toBeLessThan(1_000);
  });

  it('outlasts the silence limit while the reader lives', async () => {
    const pending = createClient().watch(KIND, {since: 41, waitMs: NOTICED_MS});
    const answer = await pending;
    expect(answer?.message.outcome).toBe(WatchOutcome.OK);
  });

  it('is served on, although another connection sent garbage', async () => {
    const socket = connect({host: '127.0.0.1', port});
    socket.on('error', () => undefined);
    socket.write(encodeFrame(helloOf('edge-3')));
    socket.write(Buffer.from([0, 0, 0, 3, 0xff, 0xff, 0xff]));
    await sleep(50);
    const answer = await createClient().watch(KIND, {since: 40, waitMs: 500});
    expect(answer?.message.outcome).toBe(WatchOutcome.OK);
    socket.destroy();
  });
});

describe('a watch of a reader at fault', () => {
  let peer: PeerServer;
  let client: WatchClient;

  const start = async (reply: (watch: Message) => readonly Message[]) => {
    peer = new PeerServer({
      hello: helloOf(READER),
      clock,
      createListener: (connection) => ({
        onReady: () => undefined,
        onMessage: (message) => {
          for (const answer of reply(message)) connection().send(answer);
        },
        onDrain: () => undefined,
        onClose: () => undefined,
      }),
    });
    const at = {address: '127.0.0.1', port: 0};
    const port = (await peer.listen(at))._unsafeUnwrap();
    client = new WatchClient({
      entry: {vm: READER, dataCentre: 'a', address: `127.0.0.1:${port}`},
      hello: helloOf('edge-2'),
      clock,
      supervisor: silentSupervisor(clock),
      random,
    });
  };

  afterEach(() => {
    client.close();
    peer.close();
  });

  const answerTo = (message: Message, revision: number): Message[] =>
    message.type === MessageType.WATCH
      ? [
          {
            type: MessageType.CHANGES,
            watchId: message.watchId,
            outcome: WatchOutcome.OK,
            changes: [],
            revision,
            currentOffsetMs: 0,
          },
        ]
      : [];

  it('ends when the reader is silent, before the watch is due', async () => {
    await start(() => []);
    const startedMs = clock.now();
    const answer = await client.watch(KIND, {since: 1, waitMs: 20_000});
    expect(answer).toBeUndefined();
    expect(clock.now() - startedMs).toBeLessThan(NOTICED_MS);
    expect(client.isClosed).toBe(true);
  });

  it.each([
    {name: 'goes back to an earlier revision', revision: 0, currentOffsetMs: 0},
    {name: 'has no revision', revision: Number.NaN, currentOffsetMs: 0},
    {name: 'has no age', revision: 9, currentOffsetMs: Number.NaN},
    {name: 'has an endless age', revision: 9, currentOffsetMs: Infinity},
  ])('is not answered by what $name', async ({revision, currentOffsetMs}) => {
    await start((message) =>
      answerTo(message, revision).map(
        (answer) => ({...answer, currentOffsetMs}) as Message,
      ),
    );
    const answer = await client.watch(KIND, {since: 1, waitMs: 500});
    expect(answer).toBeUndefined();
  });

  it('takes no second copy of an earlier answer', async () => {
    let earlier: Message[] = [];
    await start((message) => {
      const answers = [...earlier, ...answerTo(message, 10 + earlier.length)];
      earlier = answerTo(message, 99);
      return answers;
    });
    const first = await client.watch(KIND, {since: 1, waitMs: 500});
    const second = await client.watch(KIND, {since: 1, waitMs: 500});
    expect(first?.message.revision).toBe(10);
    expect(second?.message.revision).toBe(11);
  });
});

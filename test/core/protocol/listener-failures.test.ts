/** Connections whose listeners fail in a way that nobody foresaw. */
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {SeededRandom, SystemClock} from '../../../src/core/clock/index.js';
import {SILENT_LOGGER} from '../../../src/core/logs/index.js';
import type {
  ConnectionListener,
  HelloMessage,
} from '../../../src/core/protocol/index.js';
import {
  MessageType,
  PeerClient,
  PeerRole,
  PeerServer,
  PROTOCOL_VERSION,
} from '../../../src/core/protocol/index.js';
import {collectEscapedFailures} from '../../support/detached-failures.js';
import {waitFor} from '../../support/direct-site.js';
import {silentSupervisor} from '../../support/supervisor.js';

const ADDRESS = '127.0.0.1';

const HELLO: HelloMessage = {
  type: MessageType.HELLO,
  protocol: PROTOCOL_VERSION,
  role: PeerRole.ENTRY,
  vm: 'entry-1',
  incarnation: 'i1',
  dataCentre: 'a',
};

type Event = 'onReady' | 'onMessage' | 'onClose' | 'create';

/** A listener whose next handling of an event fails. */
class FailingListener implements ConnectionListener {
  failing: Event | undefined;
  readonly handled: Event[] = [];

  onReady(): void {
    this.handle('onReady');
  }

  onMessage(): void {
    this.handle('onMessage');
  }

  onDrain(): void {
    // Nothing is sent that has to wait.
  }

  onClose(): void {
    this.handle('onClose');
  }

  handle(event: Event): void {
    this.handled.push(event);
    if (this.failing !== event) return;
    this.failing = undefined;
    throw new Error('planted');
  }

  count(event: Event): number {
    return this.handled.filter((one) => one === event).length;
  }
}

const ROWS = [
  {side: 'client', event: 'onReady', reconnects: true},
  {side: 'client', event: 'onMessage', reconnects: false},
  {side: 'client', event: 'onClose', reconnects: true},
  {side: 'server', event: 'create', reconnects: true},
  {side: 'server', event: 'onReady', reconnects: true},
  {side: 'server', event: 'onMessage', reconnects: false},
  {side: 'server', event: 'onClose', reconnects: true},
] as const;

const escaped = collectEscapedFailures();

describe('a connection', () => {
  const clock = new SystemClock();
  let failures: number;
  let client: PeerClient;
  let server: PeerServer;
  let ofClient: FailingListener;
  let ofServer: FailingListener;

  beforeEach(() => {
    failures = 0;
    const logger = {...SILENT_LOGGER, error: () => void failures++};
    const supervisor = silentSupervisor(clock, logger);
    ofClient = new FailingListener();
    ofServer = new FailingListener();
    server = new PeerServer({
      ...{hello: HELLO, clock, supervisor},
      createListener: (connection) => {
        ofServer.handle('create');
        return {
          onReady: () => ofServer.onReady(),
          onMessage: (message) => {
            connection().send(message);
            ofServer.onMessage();
          },
          onDrain: () => undefined,
          onClose: () => ofServer.onClose(),
        };
      },
    });
  });

  afterEach(() => {
    client.stop();
    server.close();
  });

  it.each(ROWS)('whose $side fails in $event goes on', async (row) => {
    const failing = row.side === 'client' ? ofClient : ofServer;
    failing.failing = row.event;
    const port = (
      await server.listen({address: ADDRESS, port: 0})
    )._unsafeUnwrap();
    client = new PeerClient({
      peer: {address: ADDRESS, port},
      hello: HELLO,
      clock,
      random: new SeededRandom(1),
      listener: ofClient,
      supervisor: silentSupervisor(clock, {
        ...SILENT_LOGGER,
        error: () => void failures++,
      }),
    });
    client.start();
    if (row.event === 'onClose') {
      await waitFor(() => client.isReady());
      client.reset('test');
    }
    const connections = row.reconnects ? 2 : 1;
    await waitFor(
      () => ofServer.count('create') === connections && client.isReady(),
    );
    await waitFor(() => {
      client.send({type: MessageType.CANCEL, attemptId: 'a1'});
      return ofClient.count('onMessage') > 1;
    });
    expect(escaped()).toEqual([]);
    expect(failures).toBe(1);
    expect(ofServer.count('create')).toBe(connections);
  });
});

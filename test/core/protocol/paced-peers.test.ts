/** Peers that send ahead and read nothing. */
import type {Socket} from 'node:net';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {SystemClock} from '../../../src/core/clock/index.js';
import {
  encodeFrame,
  MessageType,
  PeerRole,
  PeerServer,
  PROTOCOL_VERSION,
} from '../../../src/core/protocol/index.js';
import type {HelloMessage} from '../../../src/core/protocol/index.js';
import {waitFor} from '../../support/direct-site.js';

const ADDRESS = '127.0.0.1';

const HELLO: HelloMessage = {
  type: MessageType.HELLO,
  protocol: PROTOCOL_VERSION,
  role: PeerRole.ENTRY,
  vm: 'entry-1',
  incarnation: 'i1',
  dataCentre: 'a',
};

const QUESTION = encodeFrame({type: MessageType.CANCEL, attemptId: 'a1'});

/** Answers of so many bytes fill the buffers of the system. */
const ANSWER = {type: MessageType.CANCEL, attemptId: 'x'.repeat(20_000)};

/** Questions sent ahead: far more than are answered while unread. */
const QUESTIONS = 20_000;

/** Bytes of answers that may wait, far under those of all answers. */
const MAX_UNSENT_BYTES = 32 * 1024 * 1024;

/** Time in which nothing more may be handled, in milliseconds. */
const QUIET_MS = 200;

describe('a server of peers that are paced', () => {
  const clock = new SystemClock();
  let server: PeerServer;
  let peer: Socket;
  let handled: number;
  let handledInTurn: number;
  let largestTurn: number;
  let answer: typeof ANSWER | undefined;

  beforeEach(async () => {
    [handled, handledInTurn, largestTurn] = [0, 0, 0];
    answer = undefined;
    server = new PeerServer({
      hello: HELLO,
      clock,
      isPaced: true,
      createListener: (connection) => ({
        onReady: () => undefined,
        onMessage: () => {
          count();
          if (answer !== undefined) connection().send(answer as never);
        },
        onDrain: () => undefined,
        onClose: () => undefined,
      }),
    });
    const at = {address: ADDRESS, port: 0};
    const port = (await server.listen(at))._unsafeUnwrap();
    peer = connect({host: ADDRESS, port});
    peer.on('error', () => undefined);
    peer.pause();
    peer.write(encodeFrame(HELLO));
  });

  afterEach(() => {
    peer.destroy();
    server.close();
  });

  function count(): void {
    handled++;
    if (handledInTurn++ === 0) setImmediate(() => (handledInTurn = 0));
    largestTurn = Math.max(largestTurn, handledInTurn);
  }

  /** Waits until nothing more is handled; returns how much was. */
  async function waitUntilQuiet(): Promise<number> {
    for (let before = -1; before !== handled; await sleep(QUIET_MS))
      before = handled;
    return handled;
  }

  function ask(times: number): void {
    peer.write(Buffer.concat(Array.from({length: times}, () => QUESTION)));
  }

  // Guards against turns of the event loop that one peer fills (CROWD).
  it('handles a few messages of each in a turn, and all in the end', async () => {
    ask(QUESTIONS);
    await waitFor(() => handled === QUESTIONS);
    expect(largestTurn).toBeLessThan(100);
  });

  // Guards against answers that pile up unread (CROWD).
  it('answers no further question while answers are unread', async () => {
    answer = ANSWER;
    ask(QUESTIONS);
    await waitFor(() => handled > 0);
    const before = await waitUntilQuiet();
    expect(handled).toBeLessThan(QUESTIONS);
    expect(server.countUnsentBytes()).toBeLessThan(MAX_UNSENT_BYTES);
    peer.resume();
    await waitFor(() => handled > before);
  });
});

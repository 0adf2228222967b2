/** How long an agent may be silent while it sends large frames. */
import type {AddressInfo, Server, Socket} from 'node:net';
import {createServer} from 'node:net';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {ManualClock, SeededRandom} from '../../src/core/clock/index.js';
import {VmRole, VmState} from '../../src/core/edges/index.js';
import type {RetryReason} from '../../src/core/errors/index.js';
import {RecoveryGoal} from '../../src/core/config/types.js';
import {resolveRecoveryPolicy} from '../../src/core/generation/recovery-policy.js';
import {Metrics} from '../../src/core/metrics/index.js';
import type {PeerClient} from '../../src/core/protocol/index.js';
import {
  encodeFrame,
  FRAME_PROGRESS_BYTES,
  MessageType,
  PeerRole,
  PROTOCOL_VERSION,
} from '../../src/core/protocol/index.js';
import {AgentLink} from '../../src/entry/links/agent-link.js';
import {waitFor} from '../support/direct-site.js';
import {silentSupervisor} from '../support/supervisor.js';

const CALL_ID = 'call-1';

/** Size of the response body, in bytes. */
const BODY_BYTES = 4 * 1024 * 1024;

/** Time between two pieces of the frame, in milliseconds. */
const PIECE_INTERVAL_MS = 400;

const HELLO = {
  type: MessageType.HELLO,
  protocol: PROTOCOL_VERSION,
  role: PeerRole.AGENT,
  vm: 'agent-1',
  incarnation: 'life-1',
  dataCentre: 'a',
} as const;

/** The frame of a large response. */
const FRAME = encodeFrame({
  type: MessageType.REPLY,
  callId: CALL_ID,
  status: 200,
  headers: [],
  body: new Uint8Array(BODY_BYTES),
});

const ROWS = [
  {pieceBytes: BODY_BYTES / 16, pieces: 12, isLost: false},
  {pieceBytes: FRAME_PROGRESS_BYTES, pieces: 20, isLost: false},
  // An agent that stalls sends a byte now and then.
  {pieceBytes: 1, pieces: 20, isLost: true},
];

describe('a link to an agent', () => {
  let server: Server;
  let clock: ManualClock;
  let link: AgentLink;
  let agent: Socket | undefined;

  beforeEach(async () => {
    clock = new ManualClock();
    server = createServer((socket) => {
      agent = socket;
      socket.on('error', () => undefined);
      socket.write(encodeFrame(HELLO));
    });
    await new Promise<void>((resolve) =>
      server.listen(0, '127.0.0.1', resolve),
    );
    const {port} = server.address() as AddressInfo;
    link = new AgentLink(
      {
        name: 'agent-1',
        role: VmRole.TARGET,
        state: VmState.LIVE,
        dataCentre: 'a',
        address: '127.0.0.1',
        peerPort: port,
        service: 'desk',
      },
      {
        hello: {...HELLO, role: PeerRole.ENTRY, vm: 'entry-1'},
        clock,
        random: new SeededRandom(1),
        metrics: new Metrics(),
        supervisor: silentSupervisor(clock),
        config: {
          latest: () => ({version: 0, value: undefined}),
          ageMs: () => 0,
          receiveFromAgent: () => undefined,
        },
      },
    );
    link.start();
    await waitFor(() => link.isConnected());
  });

  afterEach(() => {
    link.stop();
    agent?.destroy();
    server.close();
  });

  const receivedBytes = () => {
    const client = Reflect.get(link, 'client') as PeerClient;
    return client.bytes().received;
  };

  it.each(ROWS)(
    'that receives $pieces pieces of $pieceBytes bytes of a frame is lost: $isLost',
    async ({pieceBytes, pieces, isLost}) => {
      const losses: RetryReason[] = [];
      link.open({
        id: CALL_ID,
        message: {type: MessageType.CANCEL, attemptId: CALL_ID},
        handler: {
          onRefused: () => undefined,
          onLost: (reason) => losses.push(reason),
        },
      });
      const policy = resolveRecoveryPolicy(RecoveryGoal.LATENCY);
      const before = receivedBytes();
      for (let i = 0; i < pieces; i++) {
        agent!.write(FRAME.subarray(i * pieceBytes, (i + 1) * pieceBytes));
        const expected = before + (i + 1) * pieceBytes;
        await waitFor(() => receivedBytes() >= expected);
        clock.advance(PIECE_INTERVAL_MS);
        link.checkSilence(policy);
      }
      expect(losses.length > 0).toBe(isLost);
    },
  );
});

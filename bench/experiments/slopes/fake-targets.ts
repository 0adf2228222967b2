/** Fake targets that complete the handshake and send heartbeats. */
import {SystemClock} from '../../../src/core/clock/index.js';
import type {HeartbeatMessage} from '../../../src/core/protocol/index.js';
import {
  MessageType,
  PeerRole,
  PeerServer,
  PROTOCOL_VERSION,
  TargetPhase,
} from '../../../src/core/protocol/index.js';
import type {PeerConnection} from '../../../src/core/protocol/index.js';

const CACHED_PREFIXES = 16;

/** Typical heartbeat of the agent of a busy engine. */
export const SAMPLE_HEARTBEAT: HeartbeatMessage = {
  type: MessageType.HEARTBEAT,
  sequence: 1_000,
  phase: TargetPhase.HEALTHY,
  leaving: false,
  running: 12,
  waiting: 1,
  capacity: 16,
  targetInstance: '00112233-4455-6677-8899-aabbccddeeff',
  cachedPrefixes: Array.from({length: CACHED_PREFIXES}, (_, i) =>
    String(i).padStart(16, '0'),
  ),
  configVersion: 7,
};

/** One listener that serves all targets registered with its port. */
export class FakeTargets {
  port = 0;
  /** Number of heartbeats sent. */
  sent = 0;
  private readonly connections = new Set<PeerConnection>();
  private readonly server: PeerServer;
  private timer: NodeJS.Timeout | undefined;

  constructor() {
    const connections = this.connections;
    this.server = new PeerServer({
      hello: {
        type: MessageType.HELLO,
        protocol: PROTOCOL_VERSION,
        role: PeerRole.AGENT,
        vm: 'fake',
        incarnation: 'fake',
        dataCentre: 'waw',
      },
      clock: new SystemClock(),
      createListener: (connection) => ({
        onReady: () => void connections.add(connection()),
        onMessage: () => undefined,
        onDrain: () => undefined,
        onClose: () => void connections.delete(connection()),
      }),
    });
  }

  get connected(): number {
    return this.connections.size;
  }

  async open(): Promise<void> {
    const listening = this.server.listen({address: '127.0.0.1', port: 0});
    this.port = (await listening)._unsafeUnwrap();
  }

  /** Sends a heartbeat on every connection each `periodMs` milliseconds. */
  sendHeartbeats(periodMs: number): void {
    clearInterval(this.timer);
    this.timer = setInterval(() => {
      for (const connection of this.connections) {
        connection.send(SAMPLE_HEARTBEAT);
        this.sent++;
      }
    }, periodMs);
  }

  close(): void {
    clearInterval(this.timer);
    this.server.close();
  }
}

/** A target whose answers to single calls a test replaces. */
import type {AddressInfo, Server, Socket} from 'node:net';
import {createServer} from 'node:net';

import type {TargetRecord} from '../../src/core/targets/index.js';

/** A load report. */
export const REPORT = {active: 1, queued: 0, kv_used: 0};

/** Attempt that the usual answer to a request names. */
export const ATTEMPT_ID = 'try-1';

/** A call of the target client, as its target sees it. */
export interface SeenCall {
  readonly line: string;
  /** Head and body, as they arrived. */
  readonly text: string;
  /** Number of its connection, from 1. */
  readonly connection: number;
  /** Number of the call on its connection, from 1. */
  readonly nth: number;
  readonly socket: Socket;
}

/** Responds to a call in place of the usual response. */
export type Behaviour = (call: SeenCall) => void;

/** A target that reports its load, reserves room and answers requests. */
export class FakeTarget {
  readonly calls: SeenCall[] = [];
  readonly sockets: Socket[] = [];
  behaviour: Behaviour = respond;
  private readonly server: Server = createServer((socket) => {
    const connection = this.sockets.push(socket);
    let nth = 0;
    socket.on('error', () => undefined);
    socket.on('data', (data) => {
      const text = data.toString();
      const [line = ''] = text.split('\r\n');
      const call = {line, text, connection, nth: ++nth, socket};
      this.calls.push(call);
      this.behaviour(call);
    });
  });

  async listen(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
  }

  get record(): TargetRecord {
    const {port} = this.server.address() as AddressInfo;
    return {
      id: 'i-1',
      service: 'writers',
      address: `127.0.0.1:${port}`,
      dataCentre: 'a',
      slots: 8,
      isDraining: false,
      startedAtMs: 1,
    };
  }

  get openCount(): number {
    return this.sockets.filter((socket) => !socket.destroyed).length;
  }

  close(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }
}

/** Writes a successful response. */
export function write(socket: Socket, body: unknown, headers = ''): void {
  const text = JSON.stringify(body);
  const length = `content-length: ${text.length}\r\n`;
  socket.write(`HTTP/1.1 200 OK\r\n${headers}${length}\r\n${text}`);
}

/** Gives the usual response to a call. */
export function respond({line, socket}: SeenCall): void {
  if (line.includes('/-/report')) write(socket, REPORT);
  else if (line.includes('/-/hold-take')) write(socket, {retention: 'r-1'});
  else if (line.includes('/-/')) write(socket, {handle: 'c-1'});
  else
    write(
      socket,
      'done',
      `attempt-id: ${ATTEMPT_ID}\r\nserver-stamp: proof\r\n`,
    );
}

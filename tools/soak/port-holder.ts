/** Stands in for a former process that still holds a port. */
import {once} from 'node:events';
import type {Server} from 'node:net';
import {createServer} from 'node:net';

/**
 * Listens on a port and resets whoever connects.
 *
 * @example
 * const holder = await PortHolder.start({host: '127.20.0.10', port: 8_080});
 * await holder.release();
 */
export class PortHolder {
  private constructor(private readonly server: Server) {}

  /** Takes a port, or leaves it to another holder that still has it. */
  static async start(address: {
    host: string;
    port: number;
  }): Promise<PortHolder> {
    const server = createServer((socket) => socket.resetAndDestroy());
    server.listen(address);
    await once(server, 'listening').catch((err: NodeJS.ErrnoException) => {
      if (err.code !== 'EADDRINUSE') throw err;
    });
    return new PortHolder(server);
  }

  async release(): Promise<void> {
    if (!this.server.listening) return;
    this.server.close();
    await once(this.server, 'close');
  }
}

/** Room in the KV cache of a stand-in target, and its reservations. */
import type {IncomingMessage, ServerResponse} from 'node:http';

import {Header, Path} from '../../platform/names.js';

/**
 * Grants reservations while there is room. Only what was reserved counts.
 *
 * @example
 * if (room.serve(req, res, body)) return;
 */
export class TargetRoom {
  /** Tokens that the KV cache holds. */
  capacityTokens = Number.POSITIVE_INFINITY;
  /** Tokens that it reports as used besides its reservations. */
  usedTokens = 0;
  /** Time until it answers that it grants a reservation, in milliseconds. */
  grantDelayMs = 0;
  /** Number of reservations that were refused. */
  refused = 0;
  /** Ids of the reservations that were freed without being used. */
  readonly released: string[] = [];
  /** Tokens by reservation, used or not. */
  private readonly held = new Map<string, number>();
  private granted = 0;
  private running = 0;
  /** Most requests that ran at the same time. */
  mostRunning = 0;

  /** Number of reservations that are not freed. */
  get heldCount(): number {
    return this.held.size;
  }

  /** Tokens in the KV cache, with those that are reserved. */
  get takenTokens(): number {
    let tokens = this.usedTokens;
    for (const held of this.held.values()) tokens += held;
    return tokens;
  }

  /** Handles a call about reservations; false if it is none. */
  serve(req: IncomingMessage, res: ServerResponse, body: string): boolean {
    const url = req.url ?? '';
    if (url === (Path.RESERVE as string)) this.take(res, body);
    else if (url.startsWith(`${Path.RESERVATIONS}/`))
      this.release(res, url.slice(Path.RESERVATIONS.length + 1));
    else return false;
    return true;
  }

  /** A request runs, and frees its reservation when its response is over. */
  use(req: IncomingMessage, res: ServerResponse): void {
    const id = String(req.headers[Header.RESERVATION] ?? '');
    this.mostRunning = Math.max(this.mostRunning, ++this.running);
    res.on('close', () => {
      this.running--;
      this.held.delete(id);
    });
  }

  private take(res: ServerResponse, body: string): void {
    const {token_count: tokens} = JSON.parse(body) as {token_count: number};
    if (this.takenTokens + tokens > this.capacityTokens) {
      this.refused++;
      res.writeHead(503).end('{}');
      return;
    }
    const id = `r-${++this.granted}`;
    this.held.set(id, tokens);
    const respond = () => res.end(JSON.stringify({retention: id}));
    if (this.grantDelayMs === 0) respond();
    else setTimeout(respond, this.grantDelayMs);
  }

  private release(res: ServerResponse, id: string): void {
    if (this.held.delete(id)) this.released.push(id);
    res.end();
  }
}

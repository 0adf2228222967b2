/** Callers of the replay, on connections of their own. */
import type {Socket} from 'node:net';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

import type {RandomSource} from '../../src/core/clock/index.js';
import {HOST} from '../../stand-ins/site/config.js';
import {ReplayPath, keyOfAccount} from './config.js';
import {
  CALL_DEADLINE_MS,
  MS_PER_S,
  ORDER_BODY_BYTES,
  REQUESTS_PER_S,
  STREAM_BODY_BYTES,
  STREAM_DEADLINE_MS,
} from './consts.js';
import type {ReplayEntry} from './replay-entry.js';

/** Longest time after which a returning caller connects again. */
const MAX_RECONNECT_MS = 250;

/** Shares of the requests: streams, and orders among the others. */
const STREAM_SHARE = 0.068;
const ORDER_SHARE = 0.71;

/** Share of returning callers that start a stream. */
const RETURNING_STREAM_SHARE = 0.1;

/** Time after its deadline at which a caller gives up. */
const PATIENCE_MS = 1_000;

const STATUS_LINE = /^HTTP\/1\.1 (\d{3})/;

/** What callers saw, by status, or by the end of connections without one. */
export type StatusCounts = Map<string, number>;

/** Callers that always come back. */
export interface ReturningCallers {
  readonly count: number;
  /** Share of their requests that are streams. */
  readonly streamShare?: number;
}

/** A request as bytes. */
interface RawRequest {
  readonly path: ReplayPath;
  readonly bodyBytes: number;
}

/**
 * Sends requests over raw sockets, which cost the replay little.
 *
 * @example
 * const callers = new ReplayCallers(entries, random);
 * void callers.run();
 */
export class ReplayCallers {
  readonly statuses: StatusCounts = new Map();
  private readonly sockets = new Set<Socket>();
  private sent = 0;
  private isStopped = false;
  private rate = 1;

  constructor(
    private readonly entries: readonly ReplayEntry[],
    private readonly random: RandomSource,
  ) {}

  /** Sends the usual requests until it is stopped. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      const meanMs = MS_PER_S / (REQUESTS_PER_S * this.rate);
      await sleep(-Math.log(1 - this.random.float()) * meanMs);
      const running = this.entries.filter((entry) => entry.isRunning);
      const entry = running[this.random.below(Math.max(1, running.length))];
      if (entry !== undefined) this.send(entry, this.drawRequest(STREAM_SHARE));
    }
  }

  /**
   * Keeps connections to an entry: each caller sends one request, stays
   * connected, and comes back at once when its connection ends.
   */
  keepConnected(
    entry: ReplayEntry,
    {count, streamShare = RETURNING_STREAM_SHARE}: ReturningCallers,
  ): void {
    for (let i = 0; i < count; i++) void this.returnAlways(entry, streamShare);
  }

  /** Multiplies the usual requests for a time. */
  async burst(factor: number, durationMs: number): Promise<void> {
    this.rate = factor;
    await sleep(durationMs);
    this.rate = 1;
  }

  /** Sends orders with large bodies at once. */
  sendBodies(entry: ReplayEntry, count: number, bodyBytes: number): void {
    for (let i = 0; i < count; i++)
      this.send(entry, {path: ReplayPath.UNSAFE, bodyBytes});
  }

  /** Starts streams whose callers read nothing, and ends them. */
  async streamUnread(
    entry: ReplayEntry,
    count: number,
    durationMs: number,
  ): Promise<void> {
    const request = {path: ReplayPath.STREAM, bodyBytes: STREAM_BODY_BYTES};
    const sockets = Array.from({length: count}, () => {
      return this.send(entry, request);
    });
    for (const socket of sockets) socket.pause();
    await sleep(durationMs);
    for (const socket of sockets) socket.resetAndDestroy();
  }

  /** Starts streams whose callers hang up after a time. */
  async abandonStreams(
    entry: ReplayEntry,
    count: number,
    durationMs: number,
  ): Promise<void> {
    const request = {path: ReplayPath.STREAM, bodyBytes: STREAM_BODY_BYTES};
    const sockets = Array.from({length: count}, () => {
      return this.send(entry, request);
    });
    await sleep(durationMs);
    for (const socket of sockets) socket.destroy();
  }

  stop(): void {
    this.isStopped = true;
    for (const socket of this.sockets) socket.destroy();
  }

  private async returnAlways(
    entry: ReplayEntry,
    streamShare: number,
  ): Promise<void> {
    while (!this.isStopped) {
      const request = this.drawRequest(streamShare);
      const socket = this.send(entry, request, {staysConnected: true});
      await new Promise((resolve) => socket.once('close', resolve));
      await sleep(this.random.below(MAX_RECONNECT_MS));
    }
  }

  private drawRequest(streamShare: number): RawRequest {
    const draw = this.random.float();
    if (draw < streamShare)
      return {path: ReplayPath.STREAM, bodyBytes: STREAM_BODY_BYTES};
    return this.random.float() < ORDER_SHARE
      ? {path: ReplayPath.UNSAFE, bodyBytes: ORDER_BODY_BYTES}
      : {path: ReplayPath.SAFE, bodyBytes: 0};
  }

  private send(
    entry: ReplayEntry,
    request: RawRequest,
    options = {staysConnected: false},
  ): Socket {
    const socket = connect(entry.endpoint);
    this.sockets.add(socket);
    const isStream = request.path === ReplayPath.STREAM;
    const deadlineMs = isStream ? STREAM_DEADLINE_MS : CALL_DEADLINE_MS;
    socket.on('connect', () => {
      socket.write(this.encodeHead(request, deadlineMs, options));
      socket.write(Buffer.alloc(request.bodyBytes, 'x'));
    });
    let status: string | undefined;
    let end = 'closed';
    const giveUp = () => {
      end = 'gave up';
      socket.destroy();
    };
    const limit = options.staysConnected
      ? undefined
      : setTimeout(giveUp, deadlineMs + PATIENCE_MS);
    socket.on('data', (chunk: Buffer) => {
      if (status !== undefined) return;
      status = STATUS_LINE.exec(chunk.toString('latin1', 0, 12))?.[1] ?? '?';
      this.count(status);
    });
    socket.on('error', (e: NodeJS.ErrnoException) => (end = e.code ?? end));
    socket.on('end', () => socket.end());
    socket.on('close', () => {
      clearTimeout(limit);
      this.sockets.delete(socket);
      if (status === undefined) this.count(end);
    });
    return socket;
  }

  private encodeHead(
    {path, bodyBytes}: RawRequest,
    deadlineMs: number,
    {staysConnected}: {staysConnected: boolean},
  ): string {
    const number = this.sent++;
    const method = path === ReplayPath.SAFE ? 'GET' : 'POST';
    return (
      `${method} ${path} HTTP/1.1\r\nHost: ${HOST}\r\n` +
      `Authorization: Token ${keyOfAccount(number)}\r\n` +
      `Attempt-Id: r-${number}\r\nDeadline-Ms: ${deadlineMs}\r\n` +
      `Connection: ${staysConnected ? 'keep-alive' : 'close'}\r\n` +
      `Content-Length: ${bodyBytes}\r\n\r\n`
    );
  }

  private count(status: string): void {
    this.statuses.set(status, (this.statuses.get(status) ?? 0) + 1);
  }
}

/** A sink for log lines that never blocks the process. */
import {write} from 'node:fs';
import {Writable} from 'node:stream';

import type {Clock} from '../clock/index.js';

/** Maximum number of buffered bytes; lines beyond it are dropped. */
const MAX_PENDING_BYTES = 256 * 1024;

/** Rate limit, in lines per second. */
const LINES_PER_S = 200;

/** Maximum burst, in lines. */
const BURST_LINES = 600;

const MS_PER_S = 1_000;

/** Delay before a write that would have blocked is retried, in milliseconds. */
const RETRY_MS = 50;

/** Writes bytes to a file descriptor, like `fs.write`. */
export type WriteBytes = (
  fd: number,
  bytes: Uint8Array,
  callback: (err: NodeJS.ErrnoException | null, written: number) => void,
) => void;

/**
 * Buffers lines and writes them in the background, one batch at a time. If the
 * reader stops reading, or lines exceed the rate limit, they are dropped and
 * counted.
 *
 * @example
 * const sink = new BoundedSink({fd: 1, clock, onDropped: () => count++});
 * sink.write('{"message":"started"}\n');
 */
export class BoundedSink extends Writable {
  private pending: Buffer[] = [];
  private pendingBytes = 0;
  private isWriting = false;
  private allowance = BURST_LINES;
  private refilledMs: number;

  constructor(
    private readonly options: {
      fd: number;
      clock: Clock;
      /** Called for each line or batch that is not written. */
      onDropped: () => void;
      writeBytes?: WriteBytes;
    },
  ) {
    super({decodeStrings: true});
    this.refilledMs = options.clock.now();
  }

  override _write(
    chunk: Buffer,
    _encoding: BufferEncoding,
    callback: () => void,
  ): void {
    // The line is buffered or dropped immediately, so logging never blocks.
    callback();
    const hasCapacity = this.pendingBytes + chunk.length <= MAX_PENDING_BYTES;
    if (!hasCapacity || !this.consumeAllowance()) {
      this.options.onDropped();
      return;
    }
    this.pending.push(chunk);
    this.pendingBytes += chunk.length;
    this.flush();
  }

  private consumeAllowance(): boolean {
    const nowMs = this.options.clock.now();
    const refill = ((nowMs - this.refilledMs) / MS_PER_S) * LINES_PER_S;
    this.allowance = Math.min(BURST_LINES, this.allowance + refill);
    this.refilledMs = nowMs;
    if (this.allowance < 1) return false;
    this.allowance--;
    return true;
  }

  private flush(): void {
    if (this.isWriting || this.pending.length === 0) return;
    this.isWriting = true;
    const batch = Buffer.concat(this.pending);
    this.pending = [];
    this.writeRemaining(batch);
  }

  private writeRemaining(remaining: Buffer): void {
    const {fd, writeBytes = writeToFile} = this.options;
    try {
      writeBytes(fd, remaining, (err, written) =>
        this.handleWritten(remaining, err, written),
      );
    } catch (cause) {
      this.handleWritten(remaining, cause as NodeJS.ErrnoException, 0);
    }
  }

  private handleWritten(
    remaining: Buffer,
    err: NodeJS.ErrnoException | null,
    written: number,
  ): void {
    if (err?.code === 'EAGAIN') {
      this.retryLater(remaining);
      return;
    }
    // The batch cannot be delivered, for example to a closed pipe: drop it.
    const consumedBytes = err === null ? written : remaining.length;
    if (err !== null) this.options.onDropped();
    this.pendingBytes -= consumedBytes;
    if (consumedBytes < remaining.length) {
      this.writeRemaining(remaining.subarray(consumedBytes));
      return;
    }
    this.isWriting = false;
    this.flush();
  }

  private retryLater(remaining: Buffer): void {
    const run = () => this.writeRemaining(remaining);
    this.options.clock.schedule({delayMs: RETRY_MS, run});
  }
}

function writeToFile(
  fd: number,
  bytes: Uint8Array,
  callback: (err: NodeJS.ErrnoException | null, written: number) => void,
): void {
  write(fd, bytes, callback);
}

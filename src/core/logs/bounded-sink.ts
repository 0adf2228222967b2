/** A sink for log lines that never holds up the process. */
import {write} from 'node:fs';
import {Writable} from 'node:stream';

import type {Clock} from '../clock/index.js';

/** Bytes that wait to be written; lines beyond are dropped. */
const MAX_PENDING_BYTES = 256 * 1024;

/** Lines that may be written in one second. */
const LINES_PER_S = 200;

/** Lines that may be written at once after a quiet time. */
const BURST_LINES = 600;

const MS_PER_S = 1_000;

/** Time until a write is tried again that the reader did not take. */
const RETRY_MS = 50;

/** Writes bytes to a file descriptor; as `fs.write`. */
export type WriteBytes = (
  fd: number,
  bytes: Uint8Array,
  callback: (err: NodeJS.ErrnoException | null, written: number) => void,
) => void;

/**
 * Collects lines and writes them in the background, one batch at a time. If
 * the reader stops, or lines come faster than they may, lines are dropped
 * and counted.
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
      /** Told of each line that is not written. */
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
    // The line is taken or dropped at once: whoever logs never waits.
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
    this.writeRest(batch);
  }

  private writeRest(rest: Buffer): void {
    const {fd, writeBytes = writeToFile} = this.options;
    writeBytes(fd, rest, (err, written) => {
      if (err?.code === 'EAGAIN') {
        this.retryLater(rest);
        return;
      }
      // A closed reader cannot be told of its own loss: the batch is dropped.
      const done = err === null ? written : rest.length;
      if (err !== null) this.options.onDropped();
      this.pendingBytes -= done;
      if (done < rest.length) {
        this.writeRest(rest.subarray(done));
        return;
      }
      this.isWriting = false;
      this.flush();
    });
  }

  private retryLater(rest: Buffer): void {
    const run = () => this.writeRest(rest);
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

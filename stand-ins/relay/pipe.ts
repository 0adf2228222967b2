/** One direction of a relayed connection. */
import type {Socket} from 'node:net';
import {performance} from 'node:perf_hooks';

/** Faults of one direction of a relay. */
export interface LinkState {
  isCut: boolean;
  delayMs: number;
}

interface PendingAction {
  readonly dueMs: number;
  readonly run: () => void;
}

const EMPTY = Buffer.alloc(0);

/** Forwards data, end and close of a socket in order, each after the delay. */
export class Pipe {
  private readonly pending: PendingAction[] = [];
  private lastDueMs = 0;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly from: Socket,
    private readonly to: Socket,
    private readonly link: LinkState,
  ) {
    from.on('data', (chunk) => this.add(() => this.write(chunk)));
    from.on('end', () => this.forwardEnd());
    from.on('error', () => {
      from.destroy();
      // After a clean end a truncated response could be taken for a complete one.
      this.add(() => to.resetAndDestroy());
    });
    from.on('close', () => this.add(() => to.destroySoon()));
    from.pause();
  }

  /** Stops reading. Data already read is held back while the link is cut. */
  pause(): void {
    this.from.pause();
  }

  /** Resumes reading and forwards data that was held back. */
  resume(): void {
    this.from.resume();
    this.flush();
  }

  /**
   * Node.js reports a reset as an end where it comes together with data; a write
   * fails then.
   */
  private forwardEnd(): void {
    const {from, to} = this;
    const end = () => this.add(() => to.end());
    if (from.writableEnded) end();
    else from.write(EMPTY, (err) => err ?? end());
  }

  private add(run: () => void): void {
    const dueMs = performance.now() + this.link.delayMs;
    // Later bytes must not overtake earlier ones if the delay gets shorter.
    this.lastDueMs = Math.max(this.lastDueMs, dueMs);
    this.pending.push({dueMs: this.lastDueMs, run});
    this.flush();
  }

  private flush(): void {
    while (!this.link.isCut) {
      const next = this.pending[0];
      if (next === undefined) return;
      const waitMs = next.dueMs - performance.now();
      if (waitMs > 0) return this.flushLater(waitMs);
      this.pending.shift();
      next.run();
    }
  }

  private flushLater(waitMs: number): void {
    if (this.timer !== undefined) return;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.flush();
    }, waitMs);
  }

  private write(chunk: Buffer): void {
    const {from, to, link} = this;
    if (to.destroyed || to.write(chunk) || from.isPaused()) return;
    from.pause();
    to.once('drain', () => {
      if (!link.isCut) from.resume();
    });
  }
}

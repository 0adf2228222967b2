/** One direction of a relayed connection. */
import type {Socket} from 'node:net';
import {performance} from 'node:perf_hooks';

/** What tests do to a relay's connections. */
export interface LinkState {
  isCut: boolean;
  delayMs: number;
}

interface Step {
  readonly dueMs: number;
  readonly run: () => void;
}

/** Passes bytes, ends and closes on in order, each after the delay. */
export class Pipe {
  private readonly steps: Step[] = [];
  private lastDueMs = 0;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly from: Socket,
    private readonly to: Socket,
    private readonly link: LinkState,
  ) {
    from.on('data', (chunk) => this.add(() => this.write(chunk)));
    from.on('end', () => this.add(() => to.end()));
    from.on('error', () => {
      from.destroy();
      // A clean end would make a broken answer look whole.
      this.add(() => to.resetAndDestroy());
    });
    from.on('close', () => this.add(() => to.destroySoon()));
    from.pause();
  }

  /** Stops reading; what was read is held back while the link is cut. */
  pause(): void {
    this.from.pause();
  }

  resume(): void {
    this.from.resume();
    this.flush();
  }

  private add(run: () => void): void {
    const dueMs = performance.now() + this.link.delayMs;
    // A shorter delay must not let later bytes overtake earlier ones.
    this.lastDueMs = Math.max(this.lastDueMs, dueMs);
    this.steps.push({dueMs: this.lastDueMs, run});
    this.flush();
  }

  private flush(): void {
    while (!this.link.isCut) {
      const step = this.steps[0];
      if (step === undefined) return;
      const waitMs = step.dueMs - performance.now();
      if (waitMs > 0) return this.flushLater(waitMs);
      this.steps.shift();
      step.run();
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

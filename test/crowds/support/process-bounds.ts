/** Bounds of a process among clients that nobody controls. */
import {readdirSync, readFileSync} from 'node:fs';

import type {Proc, ProcLimits} from '../../../tools/lab/proc.js';

/** What the system allows each process. */
export const LIMITS: ProcLimits = {heapMb: 32, descriptors: 256};

/** Memory of the machine of a process, in MB. */
export const MEMORY_MB = 160;

/** Largest number of descriptors that a process may have open. */
const DESCRIPTOR_BOUND = 240;

/** Time between two looks at a process, in milliseconds. */
const LOOK_MS = 50;

const KB_PER_MB = 1_024;

/** Where a process left its bounds; empty if nowhere. */
export interface Trespasses {
  readonly hasEnded?: true;
  readonly memoryMb?: number;
  readonly descriptors?: number;
}

/**
 * Watches the bounds of a process.
 *
 * @example
 * const watch = new BoundsWatch(proc);
 * expect(watch.trespasses()).toEqual({});
 */
export class BoundsWatch {
  private readonly timer: NodeJS.Timeout;
  private memoryMb = 0;
  private descriptors = 0;

  constructor(private readonly proc: Proc) {
    this.timer = setInterval(() => this.look(), LOOK_MS);
  }

  /** Largest memory and number of descriptors so far. */
  get peaks(): string {
    return `${Math.round(this.memoryMb)} MB, ${this.descriptors} descriptors`;
  }

  trespasses(): Trespasses {
    this.look();
    const {memoryMb, descriptors} = this;
    return {
      ...(this.proc.isRunning ? {} : {hasEnded: true}),
      ...(memoryMb < MEMORY_MB ? {} : {memoryMb}),
      ...(descriptors < DESCRIPTOR_BOUND ? {} : {descriptors}),
    };
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private look(): void {
    const folder = `/proc/${this.proc.pid}`;
    try {
      const status = readFileSync(`${folder}/status`, 'utf8');
      const kb = Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1] ?? 0);
      this.memoryMb = Math.max(this.memoryMb, kb / KB_PER_MB);
      const {length} = readdirSync(`${folder}/fd`);
      this.descriptors = Math.max(this.descriptors, length);
    } catch {
      // The process has ended.
    }
  }
}

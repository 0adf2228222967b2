/** Collects the buffers of messages that are over before they take too much. */
import {getHeapStatistics, setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

import type {Clock, TimerHandle} from '../core/clock/index.js';
import type {Supervisor} from '../core/supervision/index.js';
import {TaskName} from '../core/supervision/index.js';

/** Interval at which the memory of buffers is looked at, in milliseconds. */
const CHECK_INTERVAL_MS = 20;

/** Time after the last large message for which it is looked at, in ms. */
const WATCH_MS = 2_000;

/** Share of the allowed growth that is read between two looks at most. */
const UNSEEN_SHARE = 0.25;

/** Share of the growth that a quick collection must free to be enough. */
const ENOUGH_SHARE = 0.5;

/** Collects garbage, as V8 offers it. */
type Collect = (options: {type: 'minor' | 'major'}) => void;

/** What the bound needs of the engine. */
export interface BufferMemory {
  /** Bytes of buffers, garbage among them. */
  bytes(): number;
  /** Frees the young buffers. */
  collectYoung(): void;
  /** Frees all buffers that are not used. */
  collectAll(): void;
}

/**
 * Bounds the buffers that are garbage. V8 lets those outside its heap grow by 64
 * MB before it collects them, which a small machine doesn't have. It looks only
 * while messages are large, as small ones leave little, and more often the more
 * they bring, as a fast link brings more within an interval than is allowed.
 *
 * @example
 * const bound = new GarbageBound({memory: new V8Buffers(), clock, ...rest});
 * bound.recordRead(chunk.length);
 */
export class GarbageBound {
  /** Bytes that were left when all garbage was collected, or fewer. */
  private floorBytes = Number.POSITIVE_INFINITY;
  private timer?: TimerHandle;
  /** When bytes of a large message were read last. */
  private largeAtMs = 0;
  /** Bytes that were read since the last look. */
  private unseenBytes = 0;

  constructor(
    private readonly options: {
      memory: BufferMemory;
      clock: Clock;
      supervisor: Supervisor;
      /** Growth after which garbage is collected, in bytes. */
      allowedBytes: number;
    },
  ) {}

  /** Bytes of a large message were read: looks at the memory for a while. */
  recordRead(bytes: number): void {
    const {clock, supervisor, allowedBytes} = this.options;
    this.largeAtMs = clock.now();
    this.timer ??= clock.repeat({
      periodMs: CHECK_INTERVAL_MS,
      run: supervisor.guard({name: TaskName.MEMORY}, () => this.check()),
    });
    this.unseenBytes += bytes;
    if (this.unseenBytes >= allowedBytes * UNSEEN_SHARE) this.check();
  }

  private check(): void {
    const {memory, clock, allowedBytes} = this.options;
    if (clock.now() - this.largeAtMs > WATCH_MS) {
      this.timer?.cancel();
      this.timer = undefined;
    }
    this.unseenBytes = 0;
    const bytes = memory.bytes();
    this.floorBytes = Math.min(this.floorBytes, bytes);
    if (bytes - this.floorBytes < allowedBytes) return;
    memory.collectYoung();
    const grownBytes = memory.bytes() - this.floorBytes;
    if (grownBytes <= allowedBytes * ENOUGH_SHARE) return;
    memory.collectAll();
    this.floorBytes = memory.bytes();
  }
}

/**
 * The buffers of this process.
 *
 * @example
 * const memory = new V8Buffers();
 * if (memory.bytes() > limitBytes) memory.collectYoung();
 */
export class V8Buffers implements BufferMemory {
  private readonly collect: Collect;

  constructor() {
    setFlagsFromString('--expose-gc');
    this.collect = runInNewContext('gc') as Collect;
    setFlagsFromString('--no-expose-gc');
  }

  bytes(): number {
    return getHeapStatistics().external_memory;
  }

  collectYoung(): void {
    this.collect({type: 'minor'});
  }

  collectAll(): void {
    this.collect({type: 'major'});
  }
}

/** Chooses which entry to ask for changes, or to read the store. */
import type {Clock, RandomSource} from '../clock/index.js';
import {MAX_AVOID_MS, MIN_AVOID_MS} from './consts.js';
import type {EntryRecord} from './entry-record.js';
import {orderReaders} from './reader-order.js';

const AVOID_FACTOR = 2;

interface Avoidance {
  readonly untilMs: number;
  /** Length of the last avoidance before its random part, in milliseconds. */
  readonly lengthMs: number;
}

/**
 * Chooses the first entry in the order of this one that has not failed lately.
 * If that is this entry itself, or none is left, it reads the store. A failed
 * entry is tried again after a random time that doubles.
 *
 * The entry itself counts as failed when the store turns it away. It then asks
 * the others, which may still be served.
 *
 * @example
 * const choice = new ReaderChoice({vm: 'edge-3', dataCentre: 'a', clock, random});
 * choice.update(entries);
 * const reader = choice.next(); // undefined: read the store
 */
export class ReaderChoice {
  private order: readonly EntryRecord[] = [];
  private readonly avoided = new Map<string, Avoidance>();

  constructor(
    private readonly options: {
      /** Name of this entry's VM. */
      vm: string;
      dataCentre: string;
      clock: Clock;
      random: RandomSource;
    },
  ) {}

  /** Replaces the known entries, this one included. */
  update(entries: readonly EntryRecord[]): void {
    const {vm, dataCentre} = this.options;
    this.order = orderReaders({vm, dataCentre, entries});
    const known = new Set(entries.map((entry) => entry.vm));
    for (const name of [...this.avoided.keys()]) {
      if (!known.has(name)) this.avoided.delete(name);
    }
  }

  /** Whether other entries are known. */
  get hasOthers(): boolean {
    return this.order.some(({vm}) => vm !== this.options.vm);
  }

  /** The entry to ask; undefined to read the store. */
  next(): EntryRecord | undefined {
    const {vm} = this.options;
    const first = this.order.find((entry) => !this.isAvoided(entry.vm));
    return first?.vm === vm ? undefined : first;
  }

  /**
   * Records that an entry gave no answer, or this one none from the store. All
   * waits that a connection held fail together, and count once.
   */
  recordFailure(vm: string): void {
    if (this.isAvoided(vm)) return;
    const {clock, random} = this.options;
    const lastMs = this.avoided.get(vm)?.lengthMs ?? 0;
    const lengthMs = Math.min(
      Math.max(lastMs * AVOID_FACTOR, MIN_AVOID_MS),
      MAX_AVOID_MS,
    );
    const untilMs = clock.now() + lengthMs * (0.5 + random.float() / 2);
    this.avoided.set(vm, {untilMs, lengthMs});
  }

  recordSuccess(vm: string): void {
    this.avoided.delete(vm);
  }

  private isAvoided(vm: string): boolean {
    const avoidance = this.avoided.get(vm);
    return (
      avoidance !== undefined && this.options.clock.now() < avoidance.untilMs
    );
  }
}

/** Admits each idempotency key at most once per agent incarnation. */
import type {PlainResponse} from '../core/edges/index.js';
import {KeyPhase} from '../core/protocol/index.js';

/** State of one key. */
export class KeyRecord {
  private currentPhase = KeyPhase.RUNNING;
  private response: PlainResponse | undefined;
  private readonly waiters: Array<() => void> = [];

  constructor(readonly fingerprint: string) {}

  get phase(): KeyPhase {
    return this.currentPhase;
  }

  /** The first outcome; undefined unless the phase is DONE. */
  get outcome(): PlainResponse | undefined {
    return this.response;
  }

  complete(response: PlainResponse): void {
    this.response = response;
    this.settle(KeyPhase.DONE);
  }

  /** Records that the target may or may not have run the call. */
  markUncertain(): void {
    this.settle(KeyPhase.UNCERTAIN);
  }

  /** Records that the call did not run and will never run. */
  markPromisedNever(): void {
    this.settle(KeyPhase.PROMISED_NEVER);
  }

  /** Calls `run` once the phase is no longer RUNNING, or at once. */
  whenSettled(run: () => void): void {
    if (this.currentPhase === KeyPhase.RUNNING) {
      this.waiters.push(run);
      return;
    }
    run();
  }

  private settle(phase: KeyPhase): void {
    if (this.currentPhase !== KeyPhase.RUNNING) return;
    this.currentPhase = phase;
    for (const waiter of this.waiters.splice(0)) waiter();
  }
}

/** All keys that this incarnation has admitted or promised never to admit. */
export class KeyTable {
  private readonly records = new Map<string, KeyRecord>();

  constructor(private readonly options: {capacity: number}) {}

  get size(): number {
    return this.records.size;
  }

  isFull(): boolean {
    return this.records.size >= this.options.capacity;
  }

  find(key: {clientAccount: string; key: string}): KeyRecord | undefined {
    return this.records.get(mapKeyOf(key));
  }

  /** Admits a key for which `find` returned undefined. */
  admit(key: {
    clientAccount: string;
    key: string;
    fingerprint: string;
  }): KeyRecord {
    const record = new KeyRecord(key.fingerprint);
    this.records.set(mapKeyOf(key), record);
    return record;
  }
}

function mapKeyOf(key: {clientAccount: string; key: string}): string {
  return `${key.clientAccount}\n${key.key}`;
}

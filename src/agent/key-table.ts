/** Admits each idempotency key once in the life of this incarnation. */
import type {PlainResponse} from '../core/edges/index.js';
import {KeyPhase} from '../core/protocol/index.js';

/** What the agent knows of a key. */
export class KeyRecord {
  private currentPhase = KeyPhase.RUNNING;
  private response: PlainResponse | undefined;
  private readonly waiters: Array<() => void> = [];

  constructor(readonly fingerprint: string) {}

  get phase(): KeyPhase {
    return this.currentPhase;
  }

  /** The first outcome; undefined unless DONE. */
  get outcome(): PlainResponse | undefined {
    return this.response;
  }

  complete(response: PlainResponse): void {
    this.response = response;
    this.settle(KeyPhase.DONE);
  }

  /** The target may or may not have run the call. */
  markUncertain(): void {
    this.settle(KeyPhase.UNCERTAIN);
  }

  /** The call certainly did not run and never will. */
  markPromisedNever(): void {
    this.settle(KeyPhase.PROMISED_NEVER);
  }

  /** Calls back once the key no longer runs; at once if it does not. */
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

  /** Admits a key that `find` did not know. */
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

/** Shares requests that crash engines with the other entries. */
import type {Clock, RandomSource, TimerHandle} from '../../core/clock/index.js';
import type {StateWriter} from '../../core/edges/state-writer.js';
import type {
  SourceChange,
  SourceItem,
  StateSource,
} from '../../core/edges/state-source.js';
import type {Logger} from '../../core/logs/index.js';
import type {QuarantineRecord, Quarantine} from '../../core/poison/index.js';
import {Follower} from '../../core/sync/index.js';
import {QUARANTINE_MS, QUARANTINE_WAIT_MS, SHARE_PAUSE_MS} from '../consts.js';
import {ContactLog} from '../contact-log.js';

/** An entry that only heard of a culprit waits this much longer. */
const HEARD_FACTOR = 2;

/** What the entries' common quarantine is made from. */
export interface QuarantineShareOptions {
  readonly quarantine: Quarantine;
  readonly notes: StateWriter<QuarantineRecord>;
  readonly source: StateSource<QuarantineRecord>;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
}

/**
 * Keeps this entry's quarantine and the notes in the store the same. The
 * entry that found a culprit takes its note away after a time.
 *
 * @example
 * new QuarantineShare(options).start();
 */
export class QuarantineShare {
  private readonly follower: Follower<QuarantineRecord>;
  /** Fingerprints that the store is known to hold. */
  private readonly stored = new Set<string>();
  private readonly timers = new Set<TimerHandle>();
  private isStopped = false;

  constructor(private readonly options: QuarantineShareOptions) {
    const {source, clock, random, logger} = options;
    const contact = new ContactLog({what: 'quarantine', clock, logger});
    this.follower = new Follower({
      source,
      clock,
      random,
      waitMs: QUARANTINE_WAIT_MS,
      listener: {
        onSnapshot: (items) => this.takeAll(items),
        onChanges: (changes) => this.takeChanges(changes),
        onConfirmed: () => contact.noteHeard(),
        onError: (err) => contact.noteLost(err),
      },
    });
  }

  start(): void {
    const {quarantine, logger} = this.options;
    quarantine.subscribe((fingerprint, culprit) => {
      const isHeard = this.stored.has(fingerprint);
      logger.warn('request quarantined', {
        fingerprint,
        clientAccount: culprit.clientAccount,
        engines: culprit.crashes.join(','),
        isHeard,
      });
      if (!isHeard) void this.share(fingerprint, culprit);
    });
    this.follower.start();
  }

  stop(): void {
    this.isStopped = true;
    this.follower.stop();
    for (const timer of this.timers) timer.cancel();
  }

  private takeAll(items: ReadonlyArray<SourceItem<QuarantineRecord>>): void {
    const present = new Set(items.map(({name}) => name));
    for (const name of [...this.stored]) {
      if (!present.has(name)) this.release(name);
    }
    for (const {name, value} of items) this.learn(name, value);
  }

  private takeChanges(
    changes: ReadonlyArray<SourceChange<QuarantineRecord>>,
  ): void {
    for (const {name, value, isDeleted} of changes) {
      if (isDeleted) this.release(name);
      else this.learn(name, value);
    }
  }

  private learn(
    fingerprint: string,
    culprit: QuarantineRecord | undefined,
  ): void {
    if (culprit === undefined || this.stored.has(fingerprint)) return;
    this.stored.add(fingerprint);
    this.options.quarantine.add({fingerprint, record: culprit});
    // Whoever left the note may be gone when its time is over.
    void this.expire(fingerprint, QUARANTINE_MS * HEARD_FACTOR);
  }

  private release(fingerprint: string): void {
    this.stored.delete(fingerprint);
    this.options.quarantine.remove(fingerprint);
  }

  private async share(
    fingerprint: string,
    culprit: QuarantineRecord,
  ): Promise<void> {
    const {notes} = this.options;
    await this.insist(() => notes.createIfAbsent(fingerprint, culprit));
    this.stored.add(fingerprint);
    await this.expire(fingerprint, QUARANTINE_MS);
  }

  /** Takes a note away after a time; its deletion releases the request. */
  private async expire(fingerprint: string, delayMs: number): Promise<void> {
    await this.sleep(delayMs);
    if (!this.stored.has(fingerprint)) return;
    await this.insist(() => this.options.notes.remove(fingerprint));
  }

  /** Writes until the store takes it. */
  private async insist(
    write: () => ReturnType<StateWriter<QuarantineRecord>['remove']>,
  ): Promise<void> {
    const {logger} = this.options;
    while (!this.isStopped) {
      const written = await write();
      if (written.isOk()) return;
      const {kind, detail} = written.error;
      logger.warn('quarantine not written', {kind, detail});
      await this.sleep(SHARE_PAUSE_MS);
    }
  }

  /** Ends early, and for good, when the process stops. */
  private sleep(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = this.options.clock.schedule({
        delayMs,
        run: () => {
          this.timers.delete(timer);
          resolve();
        },
      });
      this.timers.add(timer);
    });
  }
}

/** Decides which reads of the store confirm its configuration. */
import type {Clock} from '../clock/index.js';
import {RESTORE_SETTLE_MS} from './consts.js';
import type {EpochRecord} from './epoch-record.js';
import type {Confirmation} from './key-trust.js';

/** What an entry learns of an epoch from the others. */
export type ToldEpoch = Pick<EpochRecord, 'version' | 'isSettled'>;

/**
 * A store that was restored from a copy may hold an older configuration than one
 * that was confirmed before, with keys that were revoked since. It confirms
 * nothing while it is older than the newest one that any entry knows, nor until
 * what was lost has had time to be written again.
 *
 * @example
 * const filter = new ConfirmationFilter({clock});
 * filter.recordStored(12);
 * if (filter.accepts({confirmation, knownVersion: 12})) trust(confirmation);
 */
export class ConfirmationFilter {
  private storedVersion = Number.NEGATIVE_INFINITY;
  /** Newest version that other entries have told of. */
  private toldVersion = Number.NEGATIVE_INFINITY;
  private settledAtMs = Number.NEGATIVE_INFINITY;
  /** Whether the others must be asked before the store confirms anything. */
  private mustAsk = false;

  constructor(private readonly options: {clock: Clock}) {}

  /** Records the version that the store holds. */
  recordStored(version: number): void {
    this.storedVersion = version;
  }

  /** Records that the store was restored; its version is recorded next. */
  recordRestored(): void {
    this.storedVersion = Number.NEGATIVE_INFINITY;
    this.settledAtMs = this.options.clock.now() + RESTORE_SETTLE_MS;
    this.mustAsk = true;
  }

  /** Records what others know of the store's epoch. */
  recordTold({version, isSettled}: ToldEpoch): void {
    this.toldVersion = Math.max(this.toldVersion, version);
    if (!isSettled) return;
    this.settledAtMs = Number.NEGATIVE_INFINITY;
    this.mustAsk = false;
  }

  /** Records that the others were asked after the store had settled. */
  recordAsked(): void {
    this.mustAsk = false;
  }

  /** Whether the store was restored and confirms nothing yet. */
  get isWaiting(): boolean {
    return this.mustAsk;
  }

  /** Time until the store has settled, in milliseconds. */
  get waitMs(): number {
    return Math.max(0, this.settledAtMs - this.options.clock.now());
  }

  /** Whether the store holds an older configuration than a version. */
  lacks(version: number): boolean {
    return this.storedVersion < version;
  }

  accepts(options: {
    confirmation: Confirmation;
    /** Newest version that this entry knows. */
    knownVersion: number;
  }): boolean {
    const {confirmation, knownVersion} = options;
    const isEmpty = this.storedVersion === Number.NEGATIVE_INFINITY;
    if (this.mustAsk || isEmpty) return false;
    if (this.lacks(Math.max(knownVersion, this.toldVersion))) return false;
    return confirmation.atMs >= this.settledAtMs;
  }
}

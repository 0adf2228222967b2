/** Decides which reads of the store confirm the active configuration. */
import type {Clock} from '../clock/index.js';
import {RESTORE_SETTLE_MS} from './consts.js';
import type {Confirmation} from './key-trust.js';

/**
 * A store that was restored from a copy may hold an older configuration than one
 * that was confirmed before, with keys that were revoked since. It confirms
 * nothing while it is older than the active one, nor until what was lost has had
 * time to be written again.
 *
 * @example
 * const filter = new ConfirmationFilter({clock});
 * filter.recordStored(12);
 * if (filter.accepts({confirmation, activeVersion: 12})) trust(confirmation);
 */
export class ConfirmationFilter {
  private storedVersion = Number.NEGATIVE_INFINITY;
  private settledAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: {clock: Clock}) {}

  /** Records the version that the store holds. */
  recordStored(version: number): void {
    this.storedVersion = version;
  }

  /** Records that the store was restored; its version is recorded next. */
  recordRestored(): void {
    this.storedVersion = Number.NEGATIVE_INFINITY;
    this.settledAtMs = this.options.clock.now() + RESTORE_SETTLE_MS;
  }

  accepts(options: {
    confirmation: Confirmation;
    activeVersion: number;
  }): boolean {
    const {confirmation, activeVersion} = options;
    if (this.storedVersion < activeVersion) return false;
    return confirmation.atMs >= this.settledAtMs;
  }
}

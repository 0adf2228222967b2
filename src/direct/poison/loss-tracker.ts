/** Tracks the targets lost while they ran requests. */
import {LossLedger} from '../../core/poison/index.js';
import type {LossDiagnosisOptions} from './loss-diagnosis.js';
import {LossDiagnosis} from './loss-diagnosis.js';
import type {LossSyncOptions} from './loss-sync.js';
import {LossSync} from './loss-sync.js';

/** Dependencies of the parts, except those that `LossTracker` creates. */
export type LossTrackerOptions = Omit<
  LossDiagnosisOptions,
  'ledger' | 'onChanged'
> &
  Omit<LossSyncOptions, 'ledger' | 'onReceived'>;

/**
 * Connects the ledger of losses, their diagnosis and their synchronization.
 *
 * @example
 * const tracker = new LossTracker(options);
 * tracker.start();
 */
export class LossTracker {
  readonly ledger: LossLedger;
  readonly diagnosis: LossDiagnosis;
  readonly sync: LossSync;

  constructor(private readonly options: LossTrackerOptions) {
    const {clock, quarantine} = options;
    this.ledger = new LossLedger({clock});
    this.diagnosis = new LossDiagnosis({
      ...options,
      ledger: this.ledger,
      onChanged: () => this.sync.publish(),
    });
    this.sync = new LossSync({
      ...options,
      ledger: this.ledger,
      onReceived: (requests) => this.diagnoseOwn(requests),
    });
    quarantine.subscribe((fingerprint, {crashes}) => {
      this.ledger.attribute(fingerprint, crashes);
    });
    quarantine.onRemoved((fingerprint) => {
      this.ledger.reset(fingerprint);
      this.diagnosis.clear(fingerprint);
      this.sync.publish();
    });
  }

  start(): void {
    this.sync.start();
  }

  stop(): void {
    this.sync.stop();
  }

  /**
   * Checks the requests to which this entry has attributed losses again, as the
   * losses received from another entry may show that one of them is poison.
   */
  private diagnoseOwn(requests: readonly string[]): void {
    const {quarantine} = this.options;
    for (const request of new Set(requests)) {
      const isOwn = this.diagnosis.hasAttributed(request);
      if (!isOwn || quarantine.has(request)) continue;
      if (!this.ledger.mayBePoison(request)) continue;
      const clientAccount = this.diagnosis.clientAccountOf(request);
      void this.diagnosis.isPoison({request, clientAccount});
    }
  }
}

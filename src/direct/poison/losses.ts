/** What an entry knows of targets that requests lost. */
import {LossLedger} from '../../core/poison/index.js';
import type {LossDiagnosisOptions} from './loss-diagnosis.js';
import {LossDiagnosis} from './loss-diagnosis.js';
import type {LossShareOptions} from './loss-share.js';
import {LossShare} from './loss-share.js';

/** What it is built from: all that its parts do not get from each other. */
export type LossesOptions = Omit<LossDiagnosisOptions, 'ledger' | 'onNews'> &
  Omit<LossShareOptions, 'ledger' | 'onLearned'>;

/**
 * Puts the ledger of losses, their diagnosis and their sharing together.
 *
 * @example
 * const losses = new Losses(options);
 * losses.start();
 */
export class Losses {
  readonly ledger: LossLedger;
  readonly diagnosis: LossDiagnosis;
  readonly share: LossShare;

  constructor(private readonly options: LossesOptions) {
    const {clock, quarantine} = options;
    this.ledger = new LossLedger({clock});
    this.diagnosis = new LossDiagnosis({
      ...options,
      ledger: this.ledger,
      onNews: () => this.share.publish(),
    });
    this.share = new LossShare({
      ...options,
      ledger: this.ledger,
      onLearned: (requests) => this.judge(requests),
    });
    quarantine.subscribe((fingerprint, {crashes}) => {
      this.ledger.attribute(fingerprint, crashes);
    });
    quarantine.onRemoved((fingerprint) => {
      this.ledger.reset(fingerprint);
      this.diagnosis.release(fingerprint);
      this.share.publish();
    });
  }

  start(): void {
    this.share.start();
  }

  stop(): void {
    this.share.stop();
  }

  /** With what others saw, a request of this entry's may be found out. */
  private judge(requests: readonly string[]): void {
    const {quarantine} = this.options;
    for (const request of new Set(requests)) {
      const isOwn = this.diagnosis.holds(request);
      if (!isOwn || quarantine.has(request)) continue;
      if (!this.ledger.mayBePoison(request)) continue;
      const clientAccount = this.diagnosis.accountOf(request);
      void this.diagnosis.isPoison({request, clientAccount});
    }
  }
}

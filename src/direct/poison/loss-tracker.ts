/** Tracks the targets lost while they ran requests. */
import {sleep} from '../../core/clock/index.js';
import type {StateWriter} from '../../core/edges/state-writer.js';
import type {StateSource} from '../../core/edges/state-source.js';
import type {
  PromptIndex,
  QuarantineRecord,
  RecordedLosses,
} from '../../core/poison/index.js';
import {LossLedger, ServedRequests} from '../../core/poison/index.js';
import {TaskName} from '../../core/supervision/index.js';
import type {OutageGate} from '../../core/sync/index.js';
import {FLUSH_TIMEOUT_MS, REFUTE_WAIT_MS} from '../consts.js';
import {LossAlerts} from './loss-alerts.js';
import type {LossDiagnosisOptions} from './loss-diagnosis.js';
import {LossDiagnosis} from './loss-diagnosis.js';
import type {LossSyncOptions} from './loss-sync.js';
import {LossSync} from './loss-sync.js';

/** Dependencies of the parts, except those that `LossTracker` creates. */
export type LossTrackerOptions = Omit<
  LossDiagnosisOptions,
  'ledger' | 'hasServed' | 'onLost' | 'onChanged' | 'raiseAlert' | 'syncLosses'
> &
  Omit<LossSyncOptions, 'ledger' | 'onRead'> & {
    readonly alertWriter: StateWriter<RecordedLosses>;
    readonly alertSource: StateSource<RecordedLosses>;
    readonly gate?: OutageGate;
    /** Lifts the quarantine of a suspect that an entry has served. */
    readonly release: (suspect: string) => void;
  };

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
  private readonly alerts: LossAlerts;
  private readonly served: ServedRequests;

  constructor(private readonly options: LossTrackerOptions) {
    const {clock, alertWriter, alertSource} = options;
    this.ledger = new LossLedger({clock});
    this.served = new ServedRequests({clock});
    this.alerts = new LossAlerts({
      ...options,
      ledger: this.ledger,
      served: this.served,
      writer: alertWriter,
      source: alertSource,
      onRefuted: options.release,
      onRestored: () => this.sync.writeAgain(),
    });
    this.diagnosis = new LossDiagnosis({
      ...options,
      ledger: this.ledger,
      hasServed: (part) => this.served.has(part),
      onLost: () => this.sync.refresh(),
      onChanged: () => this.sync.publish(),
      raiseAlert: (suspect) => this.raiseAlert(suspect),
      syncLosses: () => this.sync.flush(FLUSH_TIMEOUT_MS),
    });
    this.sync = new LossSync({
      ...options,
      ledger: this.ledger,
      onRead: () => this.handleRead(),
    });
    this.followQuarantine();
  }

  private followQuarantine(): void {
    const {quarantine, release, supervisor} = this.options;
    const task = {name: TaskName.QUARANTINE};
    const onAdded = (fingerprint: string, {crashes}: QuarantineRecord) => {
      this.ledger.attribute(fingerprint, crashes);
      if (this.ledger.alerts.isRefuted(fingerprint)) release(fingerprint);
    };
    const onRemoved = (fingerprint: string) => {
      this.ledger.reset(fingerprint);
      this.diagnosis.clear(fingerprint);
      this.sync.publish();
    };
    quarantine.subscribe(supervisor.guard(task, onAdded));
    quarantine.onRemoved(supervisor.guard(task, onRemoved));
  }

  start(): void {
    this.sync.start();
    this.alerts.start();
  }

  stop(): void {
    this.sync.stop();
    this.alerts.stop();
  }

  /** Whether this entry has recently served a request or a prompt part. */
  hasServed(suspect: string): boolean {
    return this.served.has(suspect);
  }

  /**
   * Records that one target served a whole request and still runs, or that a
   * target goes on writing a response to a prompt part.
   */
  recordServed(suspect: string): void {
    this.served.add(suspect);
    if (this.ledger.isEmpty && this.diagnosis.isIdle) return;
    this.diagnosis.clear(suspect);
    if (!this.ledger.recordServed(suspect)) return;
    this.sync.publish();
    if (!this.ledger.alerts.has(suspect)) return;
    const {supervisor} = this.options;
    supervisor.run({name: TaskName.ALERTS}, () => this.alerts.refute(suspect));
  }

  /** Records that a target goes on writing a response to a long prompt. */
  recordServedPrompt(prompt: PromptIndex): void {
    this.served.addPrompt(prompt);
    if (this.ledger.isEmpty) return;
    for (const {key} of prompt.intersect(this.ledger.partSuspects()))
      this.recordServed(key);
  }

  private handleRead(): void {
    this.diagnosis.chooseSuspects();
    this.checkOwnSuspects();
  }

  private async raiseAlert(suspect: string): Promise<void> {
    const {clock} = this.options;
    const firstAtMs = await this.alerts.raise(suspect);
    if (firstAtMs === undefined) return;
    const leftMs = firstAtMs + REFUTE_WAIT_MS - clock.now();
    if (leftMs > 0) await sleep(clock, leftMs);
  }

  /**
   * Checks the suspects of which this entry holds losses again, as the losses
   * read from other entries may show that one of them is poison.
   */
  private checkOwnSuspects(): void {
    const {supervisor} = this.options;
    const task = {name: TaskName.POISON};
    for (const suspect of this.ledger.ownSuspects) {
      const isQuarantined = this.options.quarantine.has(suspect);
      if (isQuarantined || !this.ledger.mayBePoison(suspect)) continue;
      const clientAccount = this.diagnosis.clientAccountOf(suspect);
      if (this.diagnosis.hasAttributed(suspect))
        supervisor.run(task, () =>
          this.diagnosis.isPoison({suspect, clientAccount}),
        );
      else supervisor.run(task, () => this.alerts.raise(suspect));
    }
  }
}

/** Determines why targets were lost while they ran requests. */
import type {Clock} from '../../core/clock/index.js';
import {sleep} from '../../core/clock/index.js';
import type {Logger} from '../../core/logs/index.js';
import type {Metrics} from '../../core/metrics/index.js';
import {CounterName} from '../../core/metrics/index.js';
import type {LossLedger, Quarantine} from '../../core/poison/index.js';
import {dropOldest, isDataCentreOutage} from '../../core/poison/index.js';
import type {Target, TargetSet} from '../../core/targets/index.js';
import {incarnationOf} from '../../core/targets/index.js';
import {
  LOSS_DIAGNOSIS_MS,
  INCARNATION_CHECK_MS,
  LOSS_VERIFICATION_MS,
  REMOTE_DIAGNOSIS_MS,
  IN_FLIGHT_DATA_MS,
} from '../consts.js';
import type {Prober} from '../prober.js';

/** Most requests whose attributed losses are kept; the oldest are dropped. */
const MAX_ATTRIBUTED_REQUESTS = 4_096;

/** Most prompt parts of a request that a line of the log names. */
const MAX_LOGGED_PARTS = 8;

/** Why a target was lost. */
export enum LossCause {
  /** The target still runs: only the connection broke. */
  TARGET_ALIVE = 'target_lives',
  /** The target was lost in a data-centre outage. */
  DATA_CENTRE_OUTAGE = 'data_centre',
  /** No cause other than the request was found. */
  UNEXPLAINED = 'unexplained',
}

/** A target that was lost while it ran a request. */
export interface RequestLoss {
  /** Attempt id of the caller, for the log. */
  readonly id: string;
  /** Fingerprint of the request. */
  readonly request: string;
  readonly clientAccount: string;
  /** Ids of the parts of its prompt, in order. */
  readonly promptParts: readonly string[];
  readonly target: Target;
  /** When the attempt started, in milliseconds on the monotonic clock. */
  readonly startedMs: number;
}

/** The losses that this entry attributes to a request. */
interface AttributedLosses {
  readonly clientAccount: string;
  readonly targets: Set<Target>;
}

/** Dependencies of the diagnosis. */
export interface LossDiagnosisOptions {
  readonly ledger: LossLedger;
  readonly quarantine: Quarantine;
  readonly targets: TargetSet;
  readonly prober: Prober;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
  /** Called when a target is lost, before the diagnosis. */
  readonly onLost: () => void;
  /** Called when the losses to share with other entries have changed. */
  readonly onChanged: () => void;
  /**
   * Alerts the other entries to a request that may be poison, and waits for
   * those that have served it to refute that.
   */
  readonly raiseAlert: (request: string) => Promise<void>;
  /** Writes the losses of this entry and reads those of the others. */
  readonly syncLosses: () => Promise<void>;
}

/**
 * Determines the cause of each loss: the target may still run, or its data
 * centre may have failed. Other losses are attributed to the request. After
 * enough of them the request is quarantined.
 *
 * @example
 * diagnosis.diagnose({id, request, clientAccount, target, startedMs});
 * if (await diagnosis.isPoison({request, clientAccount})) refuse();
 */
export class LossDiagnosis {
  /** Diagnoses in progress, by request and incarnation. */
  private readonly diagnoses = new Map<string, Promise<void>>();
  /** Verifications in progress, by request. */
  private readonly verifications = new Map<string, Promise<void>>();
  /** Losses seen by this entry and attributed to requests, by request. */
  private readonly attributed = new Map<string, AttributedLosses>();
  /** Requests recently withdrawn before their targets had finished them. */
  private readonly withdrawn = new Set<RequestLoss>();

  constructor(private readonly options: LossDiagnosisOptions) {}

  /** Whether no loss is under diagnosis, watched or attributed. */
  get isIdle(): boolean {
    return (
      this.diagnoses.size + this.withdrawn.size + this.attributed.size === 0
    );
  }

  /** Starts the diagnosis of a target lost while it may have run a request. */
  diagnose(loss: RequestLoss): void {
    const {ledger} = this.options;
    const {request, target} = loss;
    const incarnation = incarnationOf(target.record);
    const key = `${request} ${incarnation}`;
    if (this.diagnoses.has(key) || this.isAttributed(loss)) return;
    ledger.recordLoss({request, incarnation});
    this.log('target lost during request, diagnosis started', loss, {
      held: ledger.incarnationsOf(request).size,
      promptParts: loss.promptParts.slice(0, MAX_LOGGED_PARTS).join(','),
    });
    this.options.onLost();
    const diagnosis = this.findCause(loss).finally(() =>
      this.diagnoses.delete(key),
    );
    this.diagnoses.set(key, diagnosis);
  }

  /**
   * Watches a target from which a request was withdrawn before it had finished.
   * If the incarnation ended and was not seen again after the withdrawal, the
   * loss is attributed to the request.
   */
  watchWithdrawn(loss: RequestLoss): void {
    this.withdrawn.add(loss);
    void this.awaitIncarnationEnd(loss).finally(() =>
      this.withdrawn.delete(loss),
    );
  }

  /**
   * Whether a request is poison, after all diagnoses of its losses. If it is,
   * the request is quarantined.
   */
  async isPoison(suspect: {
    request: string;
    clientAccount: string;
  }): Promise<boolean> {
    const {ledger, quarantine} = this.options;
    const {request, clientAccount} = suspect;
    await this.awaitDiagnoses(request);
    if (quarantine.has(request)) return true;
    if (!ledger.mayBePoison(request)) return false;
    await this.probeAttributed(request);
    await this.options.raiseAlert(request);
    if (ledger.mayBePoison(request) && !ledger.isPoison(request)) {
      // Another entry may still be diagnosing one of its losses.
      await sleep(this.options.clock, REMOTE_DIAGNOSIS_MS);
      await this.options.syncLosses();
    }
    if (ledger.isPoison(request)) await this.verifyOnce(request);
    if (!ledger.isPoison(request)) return quarantine.has(request);
    const crashes = [...ledger.incarnationsOf(request)];
    quarantine.add({fingerprint: request, record: {clientAccount, crashes}});
    return true;
  }

  /** Whether this entry has attributed losses to a request. */
  hasAttributed(request: string): boolean {
    return this.attributed.has(request);
  }

  /** The client account of a request with attributed losses. */
  clientAccountOf(request: string): string {
    return this.attributed.get(request)?.clientAccount ?? '';
  }

  /** Forgets the losses of a request that was served or is released. */
  clear(request: string): void {
    this.attributed.delete(request);
    for (const loss of [...this.withdrawn]) {
      if (loss.request === request) this.withdrawn.delete(loss);
    }
  }

  private async awaitIncarnationEnd(loss: RequestLoss): Promise<void> {
    const {clock, targets, ledger} = this.options;
    const {request, target} = loss;
    const withdrawnAtMs = clock.now();
    const wasLeaving = target.record.isDraining;
    await sleep(clock, LOSS_DIAGNOSIS_MS);
    const cause = this.causeOf(loss, withdrawnAtMs);
    if (wasLeaving || cause !== LossCause.UNEXPLAINED) return;
    await sleep(clock, INCARNATION_CHECK_MS - LOSS_DIAGNOSIS_MS);
    const hasEnded =
      !targets.isCurrent(target) && target.lastSeenAtMs < withdrawnAtMs;
    if (!hasEnded || !this.withdrawn.has(loss)) return;
    ledger.recordLoss({request, incarnation: incarnationOf(target.record)});
    this.recordCause(loss, LossCause.UNEXPLAINED);
  }

  private async awaitDiagnoses(request: string): Promise<void> {
    const pending = [...this.diagnoses].filter(([key]) =>
      key.startsWith(request),
    );
    await Promise.all(pending.map(([, diagnosis]) => diagnosis));
  }

  private async findCause(loss: RequestLoss): Promise<void> {
    const {clock, prober} = this.options;
    const lostAtMs = clock.now();
    const timeout = sleep(clock, LOSS_DIAGNOSIS_MS);
    const isAlive = await Promise.race([
      prober.isAliveSince(loss.target, lostAtMs),
      timeout.then(() => false),
    ]);
    if (isAlive) {
      this.recordCause(loss, LossCause.TARGET_ALIVE);
      return;
    }
    await timeout;
    this.recordCause(loss, this.causeOf(loss, lostAtMs));
  }

  private causeOf(loss: RequestLoss, lostAtMs: number): LossCause {
    const {request, target, startedMs} = loss;
    const {ledger, targets} = this.options;
    if (target.lastSeenAtMs > lostAtMs + IN_FLIGHT_DATA_MS)
      return LossCause.TARGET_ALIVE;
    const isOutage = isDataCentreOutage({
      lost: target,
      lostAtMs,
      targets: targets.all(),
      crashedBefore: ledger.incarnationsBefore(request, startedMs),
    });
    return isOutage ? LossCause.DATA_CENTRE_OUTAGE : LossCause.UNEXPLAINED;
  }

  private recordCause(loss: RequestLoss, cause: LossCause): void {
    const {ledger, metrics, onChanged} = this.options;
    const key = {
      request: loss.request,
      incarnation: incarnationOf(loss.target.record),
    };
    metrics.count(CounterName.TARGET_LOSSES, {label: cause});
    this.log('target loss diagnosed', loss, {cause});
    if (cause === LossCause.DATA_CENTRE_OUTAGE) ledger.recordOutage(key);
    else if (cause === LossCause.TARGET_ALIVE) ledger.dismiss(key);
    else this.attribute(loss);
    onChanged();
  }

  private isAttributed({request, target}: RequestLoss): boolean {
    return this.attributed.get(request)?.targets.has(target) === true;
  }

  private attribute({request, clientAccount, target}: RequestLoss): void {
    this.options.ledger.confirm({
      request,
      incarnation: incarnationOf(target.record),
    });
    const targets = this.attributed.get(request)?.targets ?? new Set<Target>();
    this.attributed.set(request, {clientAccount, targets: targets.add(target)});
    dropOldest({entries: this.attributed, maxSize: MAX_ATTRIBUTED_REQUESTS});
  }

  /** Removes attributed losses whose targets turn out to be still running. */
  private async probeAttributed(request: string): Promise<void> {
    const {ledger, prober, clock, targets} = this.options;
    const nowMs = clock.now();
    const attributed = [...(this.attributed.get(request)?.targets ?? [])];
    const probeable = attributed.filter(
      (target) => targets.isCurrent(target) && prober.reportsStartTime(target),
    );
    await Promise.all(
      probeable.map(async (target) => {
        if (!(await prober.isAliveSince(target, nowMs))) return;
        this.attributed.get(request)?.targets.delete(target);
        ledger.dismiss({request, incarnation: incarnationOf(target.record)});
      }),
    );
  }

  /** Shares a verification between all that wait for the same verdict. */
  private verifyOnce(request: string): Promise<void> {
    const running =
      this.verifications.get(request) ??
      this.verifyLosses(request).finally(() =>
        this.verifications.delete(request),
      );
    this.verifications.set(request, running);
    return running;
  }

  /**
   * Probes, with patience, the lost targets that are still registered. An
   * incarnation that responds was not lost, whichever entry has recorded it.
   */
  private async verifyLosses(request: string): Promise<void> {
    const {ledger, prober, targets} = this.options;
    const lost = ledger.incarnationsOf(request);
    const registered = [...targets.all()].filter(
      (target) =>
        lost.has(incarnationOf(target.record)) &&
        prober.reportsStartTime(target),
    );
    const verify = async (target: Target) => {
      if (!(await prober.isRunning(target, LOSS_VERIFICATION_MS))) return;
      ledger.recordRunning(incarnationOf(target.record));
    };
    await Promise.all(registered.map(verify));
  }

  private log(
    message: string,
    {id, request, target}: RequestLoss,
    fields: {held?: number; promptParts?: string; cause?: LossCause},
  ): void {
    const {dataCentre, startedAtMs: bornMs} = target.record;
    this.options.logger.info(message, {
      id,
      fingerprint: request,
      target: target.id,
      bornMs,
      dataCentre,
      ...fields,
    });
  }
}

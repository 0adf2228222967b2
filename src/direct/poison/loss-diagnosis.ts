/** Finds out why targets were lost under requests. */
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
  REMOTE_DIAGNOSIS_MS,
  IN_FLIGHT_DATA_MS,
} from '../consts.js';
import type {Prober} from '../prober.js';

/** Requests with own losses that are remembered; the oldest ones go first. */
const MAX_ATTRIBUTED_REQUESTS = 4_096;

/** Why a target was lost. */
export enum LossCause {
  /** The target lives on: it only broke the connection. */
  TARGET_ALIVE = 'target_lives',
  /** Its data centre fell. */
  DATA_CENTRE_OUTAGE = 'data_centre',
  /** No other cause than the request was found. */
  UNEXPLAINED = 'unexplained',
}

/** A target that was lost under a request. */
export interface RequestLoss {
  /** Id of the caller's try, for the log. */
  readonly id: string;
  /** Fingerprint of the request. */
  readonly request: string;
  readonly clientAccount: string;
  readonly target: Target;
  /** When the request came to the target, on the process's clock. */
  readonly startedMs: number;
}

/** The losses that this entry holds against a request. */
interface AttributedLosses {
  readonly clientAccount: string;
  readonly targets: Set<Target>;
}

/** What a diagnosis is made from. */
export interface LossDiagnosisOptions {
  readonly ledger: LossLedger;
  readonly quarantine: Quarantine;
  readonly targets: TargetSet;
  readonly prober: Prober;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
  /** Told when there is something new to tell the other entries. */
  readonly onChanged: () => void;
}

/**
 * Looks into each loss: the target may live on, or may have fallen with its
 * data centre. What remains is held against the request; after enough of it
 * the request is put into quarantine.
 *
 * @example
 * diagnosis.open({id, request, clientAccount, target, beganMs});
 * if (await diagnosis.isPoison({request, clientAccount})) giveUp();
 */
export class LossDiagnosis {
  /** Losses that are looked into, by request and life. */
  private readonly diagnoses = new Map<string, Promise<void>>();
  /** Own losses that are held against requests, by request. */
  private readonly attributed = new Map<string, AttributedLosses>();
  /** Requests that were taken from silent targets not long ago. */
  private readonly unresponsive = new Set<RequestLoss>();

  constructor(private readonly options: LossDiagnosisOptions) {}

  /** Whether nothing is looked into or held. */
  get isIdle(): boolean {
    return (
      this.diagnoses.size + this.unresponsive.size + this.attributed.size === 0
    );
  }

  /** A target was lost under a request that it may have begun. */
  diagnose(loss: RequestLoss): void {
    const {ledger} = this.options;
    const {request, target} = loss;
    const incarnation = incarnationOf(target.record);
    const key = `${request} ${incarnation}`;
    if (this.diagnoses.has(key) || this.isAttributed(loss)) return;
    ledger.recordLoss({request, incarnation});
    this.log('loss held against request', loss, {
      held: ledger.incarnationsOf(request).size,
    });
    const diagnosis = this.findCause(loss).finally(() =>
      this.diagnoses.delete(key),
    );
    this.diagnoses.set(key, diagnosis);
  }

  /**
   * A target was silent when its request was taken from it. If its life turns
   * out to have ended then, it was lost under the request.
   */
  watchUnresponsive(loss: RequestLoss): void {
    this.unresponsive.add(loss);
    void this.awaitIncarnationEnd(loss).finally(() =>
      this.unresponsive.delete(loss),
    );
  }

  /**
   * Whether a request is poison, once all is known that can be. If it is, it
   * is put into quarantine.
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
    if (ledger.mayBePoison(request) && !ledger.isPoison(request)) {
      // Another entry may still look into a loss of its own.
      await sleep(this.options.clock, REMOTE_DIAGNOSIS_MS);
    }
    if (!ledger.isPoison(request)) return quarantine.has(request);
    const crashes = [...ledger.incarnationsOf(request)];
    quarantine.add({fingerprint: request, record: {clientAccount, crashes}});
    return true;
  }

  /** Whether this entry itself holds losses against a request. */
  hasAttributed(request: string): boolean {
    return this.attributed.has(request);
  }

  /** The client account of a request with held losses. */
  clientAccountOf(request: string): string {
    return this.attributed.get(request)?.clientAccount ?? '';
  }

  /** A request was served, or released from quarantine. */
  clear(request: string): void {
    this.attributed.delete(request);
    for (const loss of [...this.unresponsive]) {
      if (loss.request === request) this.unresponsive.delete(loss);
    }
  }

  private async awaitIncarnationEnd(loss: RequestLoss): Promise<void> {
    const {clock, targets, ledger} = this.options;
    const {request, target} = loss;
    const atMs = clock.now();
    const wasLeaving = target.record.isDraining;
    await sleep(clock, LOSS_DIAGNOSIS_MS);
    const cause = this.causeOf(loss, atMs);
    if (wasLeaving || cause !== LossCause.UNEXPLAINED) return;
    await sleep(clock, INCARNATION_CHECK_MS - LOSS_DIAGNOSIS_MS);
    const hasEnded = !targets.isCurrent(target) && target.lastSeenAtMs < atMs;
    if (!hasEnded || !this.unresponsive.has(loss)) return;
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
    const atMs = clock.now();
    const timeout = sleep(clock, LOSS_DIAGNOSIS_MS);
    const isAlive = await Promise.race([
      prober.isAliveSince(loss.target, atMs),
      timeout.then(() => false),
    ]);
    if (isAlive) {
      this.recordCause(loss, LossCause.TARGET_ALIVE);
      return;
    }
    await timeout;
    this.recordCause(loss, this.causeOf(loss, atMs));
  }

  private causeOf(loss: RequestLoss, atMs: number): LossCause {
    const {request, target, startedMs} = loss;
    const {ledger, targets} = this.options;
    if (target.lastSeenAtMs > atMs + IN_FLIGHT_DATA_MS)
      return LossCause.TARGET_ALIVE;
    const isOutage = isDataCentreOutage({
      lost: target,
      lostAtMs: atMs,
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
    this.log('cause of loss', loss, {cause});
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

  /** A target that still lives was not ended by the request. */
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

  private log(
    message: string,
    {id, request, target}: RequestLoss,
    fields: {held?: number; cause?: LossCause},
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

/** Determines why targets were lost while they ran requests. */
import type {Clock} from '../../core/clock/index.js';
import {sleep} from '../../core/clock/index.js';
import type {Logger} from '../../core/logs/index.js';
import type {Metrics} from '../../core/metrics/index.js';
import {CounterName} from '../../core/metrics/index.js';
import type {
  LossLedger,
  Quarantine,
  Suspects,
} from '../../core/poison/index.js';
import {dropOldest, isDataCentreOutage} from '../../core/poison/index.js';
import type {Supervisor} from '../../core/supervision/index.js';
import {TaskName} from '../../core/supervision/index.js';
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
import {LostPrompts} from './lost-prompts.js';

/** Most suspects whose attributed losses are kept; the oldest are dropped. */
const MAX_ATTRIBUTED_SUSPECTS = 4_096;

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
  /** The request and the parts of its prompt that may have crashed it. */
  readonly suspects: Suspects;
  readonly clientAccount: string;
  /** Ids of all parts of its prompt in order, for the log. */
  readonly promptParts: readonly string[];
  readonly target: Target;
  /** When the attempt started, in milliseconds on the monotonic clock. */
  readonly startedMs: number;
}

/** A diagnosis in progress. */
interface RunningDiagnosis {
  readonly suspects: Suspects;
  readonly done: Promise<void>;
}

/** The losses that this entry attributes to a suspect. */
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
  readonly supervisor: Supervisor;
  /** Whether this entry knows a prompt part to be harmless. */
  readonly hasServed: (part: string) => boolean;
  /** Called when a target is lost, before the diagnosis. */
  readonly onLost: () => void;
  /** Called when the losses to share with other entries have changed. */
  readonly onChanged: () => void;
  /**
   * Alerts the other entries to a suspect that may be poison, and waits for
   * those that have served it to refute that.
   */
  readonly raiseAlert: (suspect: string) => Promise<void>;
  /** Writes the losses of this entry and reads those of the others. */
  readonly syncLosses: () => Promise<void>;
}

/**
 * Determines the cause of each loss: the target may still run, or its data
 * centre may have failed. Other losses are attributed to the request and to the
 * parts of its prompt. After enough of them the suspect is quarantined.
 *
 * @example
 * diagnosis.diagnose({id, suspects, clientAccount, target, startedMs, ...rest});
 * if (await diagnosis.isPoison({suspect, clientAccount})) refuse();
 */
export class LossDiagnosis {
  /** Diagnoses in progress, by request and incarnation. */
  private readonly diagnoses = new Map<string, RunningDiagnosis>();
  /** Verifications in progress, by suspect. */
  private readonly verifications = new Map<string, Promise<void>>();
  /** Losses seen by this entry and attributed to suspects, by suspect. */
  private readonly attributed = new Map<string, AttributedLosses>();
  /** Requests recently withdrawn before their targets had finished them. */
  private readonly withdrawn = new Set<RequestLoss>();
  private readonly lostPrompts: LostPrompts;

  constructor(private readonly options: LossDiagnosisOptions) {
    this.lostPrompts = new LostPrompts({
      ...options,
      onNamed: (request, part) => this.attributeLike(request, part),
    });
  }

  /** Whether no loss is under diagnosis, watched or attributed. */
  get isIdle(): boolean {
    return (
      this.diagnoses.size + this.withdrawn.size + this.attributed.size === 0
    );
  }

  /** Starts the diagnosis of a target lost while it may have run a request. */
  diagnose(lost: RequestLoss): void {
    const {ledger} = this.options;
    const {request} = lost.suspects;
    const key = `${request} ${incarnationOf(lost.target.record)}`;
    if (this.diagnoses.has(key) || this.isAttributed(lost)) return;
    const loss = this.recordLoss(lost);
    const {suspects} = loss;
    this.log('target lost during request, diagnosis started', loss, {
      held: ledger.incarnationsOf(request).size,
      promptParts: loss.promptParts.slice(0, MAX_LOGGED_PARTS).join(','),
    });
    this.options.onLost();
    const done = this.settle(() => this.findCause(loss)).finally(() =>
      this.diagnoses.delete(key),
    );
    this.diagnoses.set(key, {suspects, done});
  }

  /** Runs work that several requests may await; it never rejects. */
  private settle(work: () => Promise<void>): Promise<void> {
    const {supervisor} = this.options;
    return new Promise((resolve) => {
      const task = {name: TaskName.POISON, onFailure: resolve};
      supervisor.run(task, async () => resolve(await work()));
    });
  }

  /**
   * Watches a target from which a request was withdrawn before it had finished.
   * If the incarnation ended and was not seen again after the withdrawal, the
   * loss is attributed to the request.
   */
  watchWithdrawn(loss: RequestLoss): void {
    this.withdrawn.add(loss);
    this.options.supervisor.run({name: TaskName.POISON}, () =>
      this.awaitIncarnationEnd(loss).finally(() => this.withdrawn.delete(loss)),
    );
  }

  /**
   * Whether a suspect is poison, after all diagnoses of its losses. If it is,
   * it is quarantined.
   */
  async isPoison(options: {
    suspect: string;
    clientAccount: string;
  }): Promise<boolean> {
    const {ledger, quarantine} = this.options;
    const {suspect, clientAccount} = options;
    await this.awaitDiagnoses(suspect);
    if (quarantine.has(suspect)) return true;
    if (!ledger.mayBePoison(suspect)) return false;
    await this.probeAttributed(suspect);
    await this.options.raiseAlert(suspect);
    if (ledger.mayBePoison(suspect) && !ledger.isPoison(suspect)) {
      // Another entry may still be diagnosing one of its losses.
      await sleep(this.options.clock, REMOTE_DIAGNOSIS_MS);
      await this.options.syncLosses();
    }
    if (ledger.isPoison(suspect)) await this.verifyOnce(suspect);
    if (!ledger.isPoison(suspect)) return quarantine.has(suspect);
    const crashes = [...ledger.incarnationsOf(suspect)];
    quarantine.add({fingerprint: suspect, record: {clientAccount, crashes}});
    return true;
  }

  /** Chooses the suspects of long prompts, after other entries' losses. */
  chooseSuspects(): void {
    this.lostPrompts.chooseAgain();
  }

  /** Whether this entry has attributed losses to a suspect. */
  hasAttributed(suspect: string): boolean {
    return this.attributed.has(suspect);
  }

  /** The client account of a suspect with attributed losses. */
  clientAccountOf(suspect: string): string {
    return this.attributed.get(suspect)?.clientAccount ?? '';
  }

  /** Forgets the losses of a suspect that was served or is released. */
  clear(suspect: string): void {
    this.attributed.delete(suspect);
    for (const loss of [...this.withdrawn]) {
      if (loss.suspects.request === suspect) this.withdrawn.delete(loss);
    }
  }

  private async awaitIncarnationEnd(loss: RequestLoss): Promise<void> {
    const {clock, targets} = this.options;
    const {target} = loss;
    const withdrawnAtMs = clock.now();
    const wasLeaving = target.record.isDraining;
    await sleep(clock, LOSS_DIAGNOSIS_MS);
    const cause = this.causeOf(loss, withdrawnAtMs);
    if (wasLeaving || cause !== LossCause.UNEXPLAINED) return;
    await sleep(clock, INCARNATION_CHECK_MS - LOSS_DIAGNOSIS_MS);
    const hasEnded =
      !targets.isCurrent(target) && target.lastSeenAtMs < withdrawnAtMs;
    if (!hasEnded || !this.withdrawn.has(loss)) return;
    this.recordCause(this.recordLoss(loss), LossCause.UNEXPLAINED);
  }

  private async awaitDiagnoses(suspect: string): Promise<void> {
    const pending = [...this.diagnoses.values()].filter(({suspects}) =>
      allKeys(suspects).includes(suspect),
    );
    await Promise.all(pending.map(({done}) => done));
  }

  /** Records a loss; returns it with the suspects that are recorded. */
  private recordLoss(loss: RequestLoss): RequestLoss {
    const {ledger} = this.options;
    const suspects = this.lostPrompts.suspectsOf(loss.suspects);
    const {request, promptParts} = suspects;
    const incarnation = incarnationOf(loss.target.record);
    ledger.recordLoss({suspect: request, incarnation});
    for (const {key, position} of promptParts) {
      const part = {by: request, position};
      ledger.recordLoss({suspect: key, incarnation, part});
    }
    this.lostPrompts.record(suspects);
    return {...loss, suspects};
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
    const {suspects, target, startedMs} = loss;
    const {ledger, targets} = this.options;
    if (target.lastSeenAtMs > lostAtMs + IN_FLIGHT_DATA_MS)
      return LossCause.TARGET_ALIVE;
    const isOutage = isDataCentreOutage({
      lost: target,
      lostAtMs,
      targets: targets.all(),
      crashedBefore: ledger.incarnationsBefore(suspects.request, startedMs),
    });
    return isOutage ? LossCause.DATA_CENTRE_OUTAGE : LossCause.UNEXPLAINED;
  }

  private recordCause(loss: RequestLoss, cause: LossCause): void {
    const {ledger, metrics, onChanged} = this.options;
    const {suspects, target} = loss;
    const incarnation = incarnationOf(target.record);
    metrics.count(CounterName.TARGET_LOSSES, {label: cause});
    this.log('target loss diagnosed', loss, {cause});
    for (const suspect of allKeys(suspects)) {
      if (cause === LossCause.UNEXPLAINED) this.attribute(suspect, loss);
      else ledger.dismiss({suspect, incarnation});
    }
    if (cause === LossCause.DATA_CENTRE_OUTAGE)
      ledger.recordOutage({suspect: suspects.request, incarnation});
    onChanged();
  }

  private isAttributed({suspects, target}: RequestLoss): boolean {
    const attributed = this.attributed.get(suspects.request);
    return attributed?.targets.has(target) === true;
  }

  private attribute(suspect: string, loss: RequestLoss): void {
    const {clientAccount, target} = loss;
    const incarnation = incarnationOf(target.record);
    this.options.ledger.confirm({suspect, incarnation});
    const targets = this.attributed.get(suspect)?.targets ?? new Set<Target>();
    this.attributed.set(suspect, {clientAccount, targets: targets.add(target)});
    dropOldest({entries: this.attributed, maxSize: MAX_ATTRIBUTED_SUSPECTS});
  }

  /** Attributes to a part what is attributed to a request that has it. */
  private attributeLike(request: string, part: string): void {
    const known = this.attributed.get(request);
    if (known === undefined) return;
    const targets = this.attributed.get(part)?.targets ?? new Set<Target>();
    for (const target of known.targets) targets.add(target);
    this.attributed.set(part, {...known, targets});
    dropOldest({entries: this.attributed, maxSize: MAX_ATTRIBUTED_SUSPECTS});
  }

  /** Removes attributed losses whose targets turn out to be still running. */
  private async probeAttributed(suspect: string): Promise<void> {
    const {ledger, prober, clock, targets} = this.options;
    const nowMs = clock.now();
    const attributed = [...(this.attributed.get(suspect)?.targets ?? [])];
    const probeable = attributed.filter(
      (target) => targets.isCurrent(target) && prober.reportsStartTime(target),
    );
    await Promise.all(
      probeable.map(async (target) => {
        if (!(await prober.isAliveSince(target, nowMs))) return;
        this.attributed.get(suspect)?.targets.delete(target);
        ledger.dismiss({suspect, incarnation: incarnationOf(target.record)});
      }),
    );
  }

  /** Shares a verification between all that wait for the same verdict. */
  private verifyOnce(suspect: string): Promise<void> {
    const running =
      this.verifications.get(suspect) ??
      this.verifyLosses(suspect).finally(() =>
        this.verifications.delete(suspect),
      );
    this.verifications.set(suspect, running);
    return running;
  }

  /**
   * Probes, with patience, the lost targets that are still registered. An
   * incarnation that responds was not lost, whichever entry has recorded it.
   */
  private async verifyLosses(suspect: string): Promise<void> {
    const {ledger, prober, targets} = this.options;
    const lost = ledger.incarnationsOf(suspect);
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
    {id, suspects, target}: RequestLoss,
    fields: {held?: number; promptParts?: string; cause?: LossCause},
  ): void {
    const {dataCentre, startedAtMs: bornMs} = target.record;
    this.options.logger.info(message, {
      id,
      fingerprint: suspects.request,
      target: target.id,
      bornMs,
      dataCentre,
      ...fields,
    });
  }
}

function allKeys({request, promptParts}: Suspects): string[] {
  return [request, ...promptParts.map(({key}) => key)];
}

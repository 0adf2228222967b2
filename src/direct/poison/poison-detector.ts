/** Keeps requests that end targets away from them. */
import {sleep} from '../../core/clock/index.js';
import {fingerprintOf} from '../../core/generation/fingerprint.js';
import type {Target} from '../../core/targets/index.js';
import {FLUSH_TIMEOUT_MS, REMOTE_LOSSES_WAIT_MS} from '../consts.js';
import type {DirectContext, DirectWork} from '../context.js';
import type {RequestLoss} from './loss-diagnosis.js';

/** A request's stay at a target. */
export interface TargetAttempt {
  readonly target: Target;
  /** When the request came to the target, on the process's clock. */
  readonly startedMs: number;
}

/**
 * Watches one request, a stream or a call, for the losses that it may cause.
 *
 * @example
 * const watch = new PoisonWatch({ctx, work, onNamed: () => giveUp()});
 * if (watch.isPoison()) refuse();
 */
export class PoisonDetector {
  private readonly ctx: DirectContext;
  private readonly work: DirectWork;
  private readonly unsubscribe: () => void;
  private cachedFingerprint?: string;
  private hasLostTarget = false;

  constructor(options: {
    ctx: DirectContext;
    work: DirectWork;
    /** Told when the request turns out to be poison, here or elsewhere. */
    onPoison: () => void;
  }) {
    this.ctx = options.ctx;
    this.work = options.work;
    this.unsubscribe = this.ctx.quarantine.subscribe((fingerprint) => {
      if (fingerprint === this.computeFingerprint()) options.onPoison();
    });
  }

  /** Whether the request is known to end its targets. */
  isPoison(): boolean {
    const {quarantine} = this.ctx;
    return !quarantine.isEmpty && quarantine.has(this.computeFingerprint());
  }

  /** Whether it is to be found out first if the request is poison. */
  mayBePoison(): boolean {
    const {ledger} = this.ctx.lossTracker;
    return !ledger.isEmpty && ledger.mayBePoison(this.computeFingerprint());
  }

  /** Whether the request is to be sent on with care, and apart from others. */
  isSuspect(): boolean {
    const {ledger} = this.ctx.lossTracker;
    return !ledger.isEmpty && ledger.isSuspect(this.computeFingerprint());
  }

  /** What suspects are kept apart by. */
  get fingerprint(): string {
    return this.computeFingerprint();
  }

  /** A target was lost that may have begun the request. */
  recordLoss(attempt: TargetAttempt): void {
    this.hasLostTarget = true;
    this.ctx.lossTracker.diagnosis.diagnose(this.toLoss(attempt));
  }

  /** The request is taken from a target that has not answered. */
  recordUnresponsive(attempt: TargetAttempt): void {
    const {diagnosis} = this.ctx.lossTracker;
    const loss = this.toLoss(attempt);
    // Its end may not have been seen yet, as that of the one before was.
    if (this.hasLostTarget) diagnosis.diagnose(loss);
    else diagnosis.watchUnresponsive(loss);
  }

  /** One target has served the whole request, and lives on. */
  recordServed(): void {
    const {ledger, diagnosis, sync} = this.ctx.lossTracker;
    if (ledger.isEmpty && diagnosis.isIdle) return;
    const request = this.computeFingerprint();
    if (ledger.recordServed(request)) sync.publish();
    diagnosis.clear(request);
  }

  /** The request ends here; without an answer it may come elsewhere. */
  close(): void {
    this.unsubscribe();
    if (this.hasLostTarget) this.ctx.lossTracker.sync.publish();
  }

  /** Whether the request may be sent, once the causes are known. */
  async maySend(): Promise<boolean> {
    const {diagnosis} = this.ctx.lossTracker;
    return !(await diagnosis.isPoison(this.requestFields()));
  }

  /**
   * Whether a suspect may be sent once more: the other entries are told of
   * its losses first, and are heard.
   */
  async mayRetry(): Promise<boolean> {
    const {sync} = this.ctx.lossTracker;
    if (!(await this.maySend())) return false;
    if (!this.isSuspect()) return true;
    await sync.flush(FLUSH_TIMEOUT_MS);
    await sleep(this.ctx.clock, REMOTE_LOSSES_WAIT_MS);
    return !this.mayBePoison() || this.maySend();
  }

  private toLoss({target, startedMs: beganMs}: TargetAttempt): RequestLoss {
    return {...this.requestFields(), target, startedMs: beganMs};
  }

  private requestFields() {
    const {req, admitted} = this.work;
    const clientAccount = admitted.account?.clientAccount ?? '';
    return {
      id: req.attemptId,
      request: this.computeFingerprint(),
      clientAccount,
    };
  }

  /** A caller's retry has the same account, path and body. */
  private computeFingerprint(): string {
    const {req, admitted} = this.work;
    const clientAccount = admitted.account?.clientAccount ?? '';
    this.cachedFingerprint ??= fingerprintOf({
      clientAccount,
      parts: [req.path, req.body],
    });
    return this.cachedFingerprint;
  }
}

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
  private hasLost = false;

  constructor(options: {
    ctx: DirectContext;
    work: DirectWork;
    /** Told when the request turns out to be poison, here or elsewhere. */
    onPoison: () => void;
  }) {
    this.ctx = options.ctx;
    this.work = options.work;
    this.unsubscribe = this.ctx.quarantine.subscribe((fingerprint) => {
      if (fingerprint === this.identify()) options.onPoison();
    });
  }

  /** Whether the request is known to end its targets. */
  isPoison(): boolean {
    const {quarantine} = this.ctx;
    return !quarantine.isEmpty && quarantine.has(this.identify());
  }

  /** Whether it is to be found out first if the request is poison. */
  mayBePoison(): boolean {
    const {ledger} = this.ctx.lossTracker;
    return !ledger.isEmpty && ledger.mayBePoison(this.identify());
  }

  /** Whether the request is to be sent on with care, and apart from others. */
  isSuspect(): boolean {
    const {ledger} = this.ctx.lossTracker;
    return !ledger.isEmpty && ledger.isSuspect(this.identify());
  }

  /** What suspects are kept apart by. */
  get fingerprint(): string {
    return this.identify();
  }

  /** A target was lost that may have begun the request. */
  recordLoss(run: TargetAttempt): void {
    this.hasLost = true;
    this.ctx.lossTracker.diagnosis.diagnose(this.toLoss(run));
  }

  /** The request is taken from a target that has not answered. */
  recordUnresponsive(run: TargetAttempt): void {
    const {diagnosis} = this.ctx.lossTracker;
    const loss = this.toLoss(run);
    // Its end may not have been seen yet, as that of the one before was.
    if (this.hasLost) diagnosis.diagnose(loss);
    else diagnosis.watchUnresponsive(loss);
  }

  /** One target has served the whole request, and lives on. */
  recordServed(): void {
    const {ledger, diagnosis, sync: share} = this.ctx.lossTracker;
    if (ledger.isEmpty && diagnosis.isIdle) return;
    const request = this.identify();
    if (ledger.noteServed(request)) share.publish();
    diagnosis.clear(request);
  }

  /** The request ends here; without an answer it may come elsewhere. */
  close(): void {
    this.unsubscribe();
    if (this.hasLost) this.ctx.lossTracker.sync.publish();
  }

  /** Whether the request may be sent, once the causes are known. */
  async maySend(): Promise<boolean> {
    const {diagnosis} = this.ctx.lossTracker;
    return !(await diagnosis.isPoison(this.describe()));
  }

  /**
   * Whether a suspect may be sent once more: the other entries are told of
   * its losses first, and are heard.
   */
  async mayRetry(): Promise<boolean> {
    const {sync: share} = this.ctx.lossTracker;
    if (!(await this.maySend())) return false;
    if (!this.isSuspect()) return true;
    await share.flush(FLUSH_TIMEOUT_MS);
    await sleep(this.ctx.clock, REMOTE_LOSSES_WAIT_MS);
    return !this.mayBePoison() || this.maySend();
  }

  private toLoss({target, startedMs: beganMs}: TargetAttempt): RequestLoss {
    return {...this.describe(), target, startedMs: beganMs};
  }

  private describe() {
    const {req, admitted} = this.work;
    const clientAccount = admitted.account?.clientAccount ?? '';
    return {id: req.attemptId, request: this.identify(), clientAccount};
  }

  /** A caller's retry has the same account, path and body. */
  private identify(): string {
    const {req, admitted} = this.work;
    const clientAccount = admitted.account?.clientAccount ?? '';
    this.cachedFingerprint ??= fingerprintOf({
      clientAccount,
      parts: [req.path, req.body],
    });
    return this.cachedFingerprint;
  }
}

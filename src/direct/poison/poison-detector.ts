/** Detects whether a request crashes its targets. */
import {fingerprintOf} from '../../core/generation/fingerprint.js';
import type {Target} from '../../core/targets/index.js';
import {FLUSH_TIMEOUT_MS} from '../consts.js';
import type {DirectContext, DirectWork} from '../context.js';
import type {RequestLoss} from './loss-diagnosis.js';

/** An attempt of a request at one target. */
export interface TargetAttempt {
  readonly target: Target;
  /** When the attempt started, in milliseconds on the monotonic clock. */
  readonly startedMs: number;
}

/**
 * Records the target losses of one stream or call, and decides whether the
 * request may be sent.
 *
 * @example
 * const detector = new PoisonDetector({ctx, work, onPoison: () => fail()});
 * if (detector.isPoison()) refuse();
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
    /** Called when this or another entry quarantines the request. */
    onPoison: () => void;
  }) {
    this.ctx = options.ctx;
    this.work = options.work;
    this.unsubscribe = this.ctx.quarantine.subscribe((fingerprint) => {
      if (fingerprint === this.computeFingerprint()) options.onPoison();
    });
  }

  /** Whether the request is quarantined. */
  isPoison(): boolean {
    const {quarantine} = this.ctx;
    return !quarantine.isEmpty && quarantine.has(this.computeFingerprint());
  }

  /** Whether the request must be diagnosed before it is sent. */
  mayBePoison(): boolean {
    const {ledger} = this.ctx.lossTracker;
    return !ledger.isEmpty && ledger.mayBePoison(this.computeFingerprint());
  }

  /** Whether retries wait for a diagnosis and are isolated from others. */
  isSuspect(): boolean {
    const {ledger} = this.ctx.lossTracker;
    return !ledger.isEmpty && ledger.isSuspect(this.computeFingerprint());
  }

  /** Identifies the request by its client account, path and body. */
  get fingerprint(): string {
    return this.computeFingerprint();
  }

  /** Records the loss of a target that may have run the request. */
  recordLoss(attempt: TargetAttempt): void {
    this.hasLostTarget = true;
    this.ctx.lossTracker.diagnosis.diagnose(this.toLoss(attempt));
  }

  /** Records that the request is withdrawn before its target finished it. */
  recordWithdrawn(attempt: TargetAttempt): void {
    const {diagnosis} = this.ctx.lossTracker;
    const loss = this.toLoss(attempt);
    // After an earlier loss, this target may have crashed too, undetected.
    if (this.hasLostTarget) diagnosis.diagnose(loss);
    else diagnosis.watchWithdrawn(loss);
  }

  /** Records that one target served the whole request and still runs. */
  recordServed(): void {
    this.ctx.lossTracker.recordServed(this.computeFingerprint());
  }

  /**
   * Ends the detection. Losses are published, as the caller may retry at
   * another entry.
   */
  close(): void {
    this.unsubscribe();
    if (this.hasLostTarget) this.ctx.lossTracker.sync.publish();
  }

  /** Whether the request may be sent, after the diagnosis of its losses. */
  async maySend(): Promise<boolean> {
    const {diagnosis} = this.ctx.lossTracker;
    return !(await diagnosis.isPoison(this.requestFields()));
  }

  /**
   * Whether a suspect may be sent again. Its losses are first written to the
   * store, and the losses recorded by other entries are read.
   */
  async mayRetry(): Promise<boolean> {
    const {sync} = this.ctx.lossTracker;
    if (!(await this.maySend())) return false;
    if (!this.isSuspect()) return true;
    await sync.flush(FLUSH_TIMEOUT_MS);
    return !this.mayBePoison() || this.maySend();
  }

  private toLoss({target, startedMs}: TargetAttempt): RequestLoss {
    const promptParts = this.work.req.promptParts.map(({id}) => id);
    return {...this.requestFields(), promptParts, target, startedMs};
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

  /** Uses the account, path and body, which a caller's retry repeats. */
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

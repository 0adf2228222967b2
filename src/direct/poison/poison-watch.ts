/** Keeps requests that end targets away from them. */
import {sleep} from '../../core/clock/index.js';
import {fingerprintOf} from '../../core/generation/fingerprint.js';
import type {Target} from '../../core/targets/index.js';
import {FLUSH_LIMIT_MS, HEARING_MS} from '../consts.js';
import type {DirectContext, DirectWork} from '../context.js';
import type {LossCase} from './loss-diagnosis.js';

/** A request's stay at a target. */
export interface TargetRun {
  readonly target: Target;
  /** When the request came to the target, on the process's clock. */
  readonly beganMs: number;
}

/**
 * Watches one request, a stream or a call, for the losses that it may cause.
 *
 * @example
 * const watch = new PoisonWatch({ctx, work, onNamed: () => giveUp()});
 * if (watch.isPoison()) refuse();
 */
export class PoisonWatch {
  private readonly ctx: DirectContext;
  private readonly work: DirectWork;
  private readonly unsubscribe: () => void;
  private fingerprint?: string;
  private hasLost = false;

  constructor(options: {
    ctx: DirectContext;
    work: DirectWork;
    /** Told when the request turns out to be poison, here or elsewhere. */
    onNamed: () => void;
  }) {
    this.ctx = options.ctx;
    this.work = options.work;
    this.unsubscribe = this.ctx.quarantine.subscribe((fingerprint) => {
      if (fingerprint === this.identify()) options.onNamed();
    });
  }

  /** Whether the request is known to end its targets. */
  isPoison(): boolean {
    const {quarantine} = this.ctx;
    return !quarantine.isEmpty && quarantine.has(this.identify());
  }

  /** Whether it is to be found out first if the request is poison. */
  mayBePoison(): boolean {
    const {ledger} = this.ctx.losses;
    return !ledger.isEmpty && ledger.mayBePoison(this.identify());
  }

  /** Whether the request is to be sent on with care, and apart from others. */
  isSuspect(): boolean {
    const {ledger} = this.ctx.losses;
    return !ledger.isEmpty && ledger.isSuspect(this.identify());
  }

  /** What suspects are kept apart by. */
  get identity(): string {
    return this.identify();
  }

  /** A target was lost that may have begun the request. */
  noteLoss(run: TargetRun): void {
    this.hasLost = true;
    this.ctx.losses.diagnosis.open(this.toLoss(run));
  }

  /** The request is taken from a target that has not answered. */
  noteTaken(run: TargetRun): void {
    const {diagnosis} = this.ctx.losses;
    const loss = this.toLoss(run);
    // Its end may not have been seen yet, as that of the one before was.
    if (this.hasLost) diagnosis.open(loss);
    else diagnosis.watchSilent(loss);
  }

  /** One target has served the whole request, and lives on. */
  noteServed(): void {
    const {ledger, diagnosis, share} = this.ctx.losses;
    if (ledger.isEmpty && diagnosis.isIdle) return;
    const request = this.identify();
    if (ledger.recordServed(request)) share.publish();
    diagnosis.release(request);
  }

  /** The request ends here; without an answer it may come elsewhere. */
  noteLeft(): void {
    this.unsubscribe();
    if (this.hasLost) this.ctx.losses.share.publish();
  }

  /** Whether the request may be sent, once the causes are known. */
  async mayGo(): Promise<boolean> {
    const {diagnosis} = this.ctx.losses;
    return !(await diagnosis.isPoison(this.describe()));
  }

  /**
   * Whether a suspect may be sent once more: the other entries are told of
   * its losses first, and are heard.
   */
  async mayGoOn(): Promise<boolean> {
    const {share} = this.ctx.losses;
    if (!(await this.mayGo())) return false;
    if (!this.isSuspect()) return true;
    await share.flush(FLUSH_LIMIT_MS);
    await sleep(this.ctx.clock, HEARING_MS);
    return !this.mayBePoison() || this.mayGo();
  }

  private toLoss({target, beganMs}: TargetRun): LossCase {
    return {...this.describe(), target, beganMs};
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
    this.fingerprint ??= fingerprintOf({
      clientAccount,
      parts: [req.path, req.body],
    });
    return this.fingerprint;
  }
}

/** Keeps requests that crash engines away from them. */
import {fingerprintOf} from '../../core/generation/fingerprint.js';
import type {CrashRecord} from '../../core/poison/index.js';
import type {Target} from '../../core/targets/index.js';
import {ACQUITTAL_MS} from '../consts.js';
import type {DirectContext, DirectWork} from '../context.js';

/** Share of a data centre's targets whose loss has another cause. */
const COMMON_LOSS_SHARE = 0.5;

/**
 * Watches one stream for the losses that it may have caused.
 *
 * @example
 * const watch = new PoisonWatch({ctx, work});
 * if (watch.isPoison()) refuse();
 */
export class PoisonWatch {
  private readonly ctx: DirectContext;
  private readonly work: DirectWork;
  private fingerprint?: string;

  constructor(options: {ctx: DirectContext; work: DirectWork}) {
    this.ctx = options.ctx;
    this.work = options.work;
  }

  isPoison(): boolean {
    if (this.crashes.isEmpty) return false;
    return this.crashes.isPoison(this.identify());
  }

  /** An engine was lost, and none has written anything. */
  noteLoss(lost: Target): void {
    const fingerprint = this.identify();
    this.crashes.note(fingerprint, lost.id);
    this.ctx.clock.schedule({
      delayMs: ACQUITTAL_MS,
      run: () => {
        if (this.isCommonLoss(lost)) this.crashes.acquit(fingerprint, lost.id);
      },
    });
  }

  /** An engine has written for the request. */
  noteWritten(): void {
    this.crashes.noteWritten(this.identify());
  }

  private get crashes(): CrashRecord {
    return this.ctx.crashes;
  }

  private isCommonLoss({record}: Target): boolean {
    const beside = this.ctx.targets
      .ofService(record.service)
      .filter((target) => target.record.dataCentre === record.dataCentre);
    const away = beside.filter((target) => target.isPaused()).length;
    return away > 1 && away >= beside.length * COMMON_LOSS_SHARE;
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

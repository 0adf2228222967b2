/** Keeps requests that crash engines away from them. */
import {fingerprintOf} from '../../core/generation/fingerprint.js';
import type {LogFields} from '../../core/logs/index.js';
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
    const {crashes, quarantine} = this.ctx;
    if (crashes.isEmpty && quarantine.isEmpty) return false;
    const fingerprint = this.identify();
    return crashes.isPoison(fingerprint) || quarantine.has(fingerprint);
  }

  /** An engine was lost, and none has written anything. */
  noteLoss(lost: Target): void {
    const {crashes} = this.ctx;
    const fingerprint = this.identify();
    crashes.note(fingerprint, lost.id);
    this.tell('loss held against request', lost, {
      held: crashes.enginesOf(fingerprint).size,
    });
    this.ctx.clock.schedule({
      delayMs: ACQUITTAL_MS,
      run: () => {
        if (this.isCommonLoss(lost)) this.acquit(fingerprint, lost);
        else this.quarantineIfPoison(fingerprint);
      },
    });
  }

  private acquit(fingerprint: string, lost: Target): void {
    this.ctx.crashes.acquit(fingerprint, lost.id);
    this.tell('loss has another cause', lost, {cause: 'data_centre'});
  }

  private tell(message: string, lost: Target, fields: LogFields): void {
    this.ctx.logger.info(message, {
      id: this.work.req.attemptId,
      fingerprint: this.identify(),
      target: lost.id,
      bornMs: lost.record.bornMs,
      dataCentre: lost.record.dataCentre,
      ...fields,
    });
  }

  /** An engine has written for the request. */
  noteWritten(): void {
    const {crashes, logger} = this.ctx;
    const fingerprint = this.identify();
    const held = crashes.enginesOf(fingerprint).size;
    crashes.noteWritten(fingerprint);
    if (held === 0) return;
    const {attemptId: id} = this.work.req;
    logger.info('request counts as harmless', {id, fingerprint, held});
  }

  /** Once the cause of the last loss is known, the others are told. */
  private quarantineIfPoison(fingerprint: string): void {
    const {crashes, quarantine} = this.ctx;
    if (!crashes.isPoison(fingerprint)) return;
    const clientAccount = this.work.admitted.account?.clientAccount ?? '';
    const engines = crashes.enginesOf(fingerprint);
    const culprit = {clientAccount, crashes: [...engines]};
    quarantine.add({fingerprint, culprit});
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

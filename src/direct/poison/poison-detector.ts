/** Detects whether a request crashes its targets. */
import {fingerprintOf} from '../../core/generation/fingerprint.js';
import type {PartSuspect} from '../../core/poison/index.js';
import {PromptIndex} from '../../core/poison/index.js';
import type {Target} from '../../core/targets/index.js';
import {FLUSH_TIMEOUT_MS} from '../consts.js';
import type {DirectContext, DirectWork, RequestContext} from '../context.js';
import type {RequestLoss} from './loss-diagnosis.js';

/** An attempt of a request at one target. */
export interface TargetAttempt {
  readonly target: Target;
  /** When the attempt started, in milliseconds on the monotonic clock. */
  readonly startedMs: number;
}

/**
 * Records the target losses of one stream or call, and decides whether the
 * request may be sent. A request is refused as poison if it crashes its targets
 * itself, or if a part of its prompt does, whatever else requests contain.
 *
 * @example
 * const detector = new PoisonDetector({ctx, work, onPoison: () => fail()});
 * if (detector.isPoison()) refuse();
 */
export class PoisonDetector {
  private readonly ctx: DirectContext;
  private readonly work: DirectWork;
  private readonly unsubscribe: () => void;
  private promptIndex?: PromptIndex;
  private cachedFingerprint?: string;
  private hasLostTarget = false;

  constructor(options: {
    ctx: RequestContext;
    work: DirectWork;
    /** Called when any entry quarantines the request or a prompt part. */
    onPoison: () => void;
  }) {
    this.ctx = options.ctx;
    this.work = options.work;
    const listener = options.ctx.boundary.guard((suspect: string) => {
      if (suspect === this.fingerprint || this.prompt.has(suspect))
        options.onPoison();
    });
    this.unsubscribe = this.ctx.quarantine.subscribe(listener);
  }

  /** Whether the request or a part of its prompt is quarantined. */
  isPoison(): boolean {
    const {quarantine} = this.ctx;
    if (quarantine.isEmpty) return false;
    const {fingerprint, prompt} = this;
    return (
      quarantine.has(fingerprint) ||
      prompt.intersect(quarantine.promptParts).length > 0
    );
  }

  /** Whether the request must be diagnosed before it is sent. */
  mayBePoison(): boolean {
    const {ledger} = this.ctx.lossTracker;
    if (ledger.isEmpty) return false;
    return this.unservedKeys().some((key) => ledger.mayBePoison(key));
  }

  /** Whether retries wait for a diagnosis and are isolated from others. */
  isSuspect(): boolean {
    const {ledger} = this.ctx.lossTracker;
    if (ledger.isEmpty) return false;
    return this.unservedKeys().some((key) => ledger.isSuspect(key));
  }

  /**
   * Identifies the request by its client account, path and body, which a
   * caller's retry repeats.
   */
  get fingerprint(): string {
    const {path, body} = this.work.req;
    const {clientAccount} = this;
    const parts = [path, body];
    return (this.cachedFingerprint ??= fingerprintOf({clientAccount, parts}));
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
    this.ctx.lossTracker.recordServed(this.fingerprint);
    this.recordWriting();
  }

  /** Records that a target writes a response and has not crashed. */
  recordWriting(): void {
    const {lossTracker} = this.ctx;
    if (this.prompt.isLong) lossTracker.recordServedPrompt(this.prompt);
    else
      for (const {key} of this.prompt.suspects) lossTracker.recordServed(key);
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
    const {diagnosis, ledger} = this.ctx.lossTracker;
    const {clientAccount} = this;
    for (const suspect of this.unservedKeys()) {
      if (!ledger.mayBePoison(suspect)) continue;
      if (await diagnosis.isPoison({suspect, clientAccount})) return false;
    }
    return !this.isPoison();
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
    const {work, clientAccount} = this;
    const {attemptId: id, promptParts} = work.req;
    return {
      id,
      suspects: {
        request: this.fingerprint,
        promptParts: this.withoutServed(this.prompt.suspects),
      },
      clientAccount,
      promptParts: promptParts.map((part) => part.id),
      target,
      startedMs,
    };
  }

  /** Made when it is first needed, as that decodes the prompt. */
  private get prompt(): PromptIndex {
    return (this.promptIndex ??= new PromptIndex(this.work.req.promptParts));
  }

  private get clientAccount(): string {
    return this.work.admitted.account?.clientAccount ?? '';
  }

  /**
   * The parts of the prompt in reverse order, then the request itself, without
   * those that this entry knows to be harmless. Of a long prompt, only parts
   * with losses are of interest.
   */
  private unservedKeys(): string[] {
    const {prompt} = this;
    const {ledger} = this.ctx.lossTracker;
    const parts = prompt.isLong
      ? prompt.intersect(ledger.partSuspects())
      : prompt.suspects;
    const unserved = this.withoutServed(parts);
    return [...unserved.map(({key}) => key), this.fingerprint];
  }

  private withoutServed(parts: readonly PartSuspect[]): PartSuspect[] {
    return parts.filter(({key}) => !this.ctx.lossTracker.hasServed(key));
  }
}

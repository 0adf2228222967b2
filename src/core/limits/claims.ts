/** The order in which refused requests get the next permits of a target. */
import type {Clock} from '../clock/index.js';
import {
  CLAIM_GRACE_MS,
  MAX_CLAIMS,
  MAX_CLAIM_MS,
  MAX_REMEMBERED_ACCOUNTS,
} from './consts.js';

/** What decides on the rank of a request. */
export interface Claimant {
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly clientAccount: string;
}

interface Claim extends Claimant {
  readonly untilMs: number;
}

/**
 * Keeps the next permits for refused requests that were told when to return: the
 * more urgent ones first, and of equally urgent ones those of the client account
 * that has had none for the longest time. A claim ends shortly after the time at
 * which its request should have returned.
 *
 * @example
 * const claims = new Claims({clock});
 * claims.add(urgent, 400);
 * claims.countBefore(lessUrgent); // 1
 */
export class Claims {
  private claims: Claim[] = [];
  /** When each client account got its last permit, oldest first. */
  private readonly grantedMs = new Map<string, number>();

  constructor(private readonly options: {clock: Clock}) {}

  /** Claims that go before a request. */
  countBefore(claimant: Claimant): number {
    return this.count((claim) => this.compare(claim, claimant) < 0);
  }

  /** Claims that go before another claim of the same rank. */
  countAhead(claimant: Claimant): number {
    return this.count((claim) => this.compare(claim, claimant) <= 0);
  }

  /** Keeps a place for a refused request that is told to return after a time. */
  add({priority, clientAccount}: Claimant, retryAfterMs: number): void {
    if (retryAfterMs > MAX_CLAIM_MS) return;
    if (this.claims.length >= MAX_CLAIMS) return;
    const untilMs = this.options.clock.now() + retryAfterMs + CLAIM_GRACE_MS;
    this.claims.push({priority, clientAccount, untilMs});
  }

  /** Records a permit, which ends a claim of the same rank. */
  recordGranted({priority, clientAccount}: Claimant): void {
    const index = this.claims.findIndex(
      (claim) =>
        claim.priority === priority && claim.clientAccount === clientAccount,
    );
    if (index >= 0) this.claims.splice(index, 1);
    this.grantedMs.delete(clientAccount);
    this.grantedMs.set(clientAccount, this.options.clock.now());
    const [oldest] = this.grantedMs.keys();
    if (this.grantedMs.size > MAX_REMEMBERED_ACCOUNTS)
      this.grantedMs.delete(oldest!);
  }

  private count(isCounted: (claim: Claim) => boolean): number {
    const nowMs = this.options.clock.now();
    this.claims = this.claims.filter(({untilMs}) => untilMs > nowMs);
    return this.claims.filter(isCounted).length;
  }

  /** Negative if `a` goes before `b`; 0 if the one that came first does. */
  private compare(a: Claimant, b: Claimant): number {
    if (a.priority !== b.priority) return a.priority - b.priority;
    return Math.sign(this.lastGrantedMs(a) - this.lastGrantedMs(b)) || 0;
  }

  private lastGrantedMs({clientAccount}: Claimant): number {
    return this.grantedMs.get(clientAccount) ?? Number.MIN_SAFE_INTEGER;
  }
}

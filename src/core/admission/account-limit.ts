import type {ResultAsync} from 'neverthrow';
import {errAsync, okAsync} from 'neverthrow';

import type {SiteConfig} from '../config/types.js';
import type {Refusal} from '../errors/refusals.js';
import {Ran, RefusalReason} from '../errors/refusals.js';
import type {Admission, AdmissionQuery, AdmissionTicket} from './types.js';

const RETRY_AFTER_MS = 1_000;

/** Bounds the requests of each client account at this entry. */
export class AccountLimit implements Admission {
  private readonly inFlight = new Map<string, number>();

  admit(query: AdmissionQuery): ResultAsync<AdmissionTicket, Refusal> {
    const {name, maxConcurrent} = query.clientAccount;
    const count = this.inFlight.get(name) ?? 0;
    if (count >= maxConcurrent) {
      return errAsync({
        reason: RefusalReason.ACCOUNT_LIMIT,
        ran: Ran.NO,
        detail: `${count} requests of this account are in flight`,
        retryAfterMs: RETRY_AFTER_MS,
      });
    }
    this.inFlight.set(name, count + 1);
    return okAsync({release: () => this.release(name)});
  }

  configure(_cfg: SiteConfig): void {
    // The limit is read from each query's account.
  }

  private release(name: string): void {
    const count = this.inFlight.get(name) ?? 0;
    this.inFlight.set(name, Math.max(0, count - 1));
  }
}

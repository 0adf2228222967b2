import type {ResultAsync} from 'neverthrow';

import type {
  ClientAccountConfig,
  ServiceConfig,
  SiteConfig,
} from '../config/types.js';
import type {Refusal} from '../errors/refusals.js';

/** A request that asks to be let in. */
export interface AdmissionQuery {
  readonly clientAccount: ClientAccountConfig;
  readonly service: ServiceConfig;
  /** Time by which the answer must be whole, on the process's clock. */
  readonly deadlineAtMs: number;
  /** Tokens asked for; 0 for a plain call. */
  readonly maxTokens: number;
}

/** A request that was let in; it must be released exactly once. */
export interface AdmissionTicket {
  release(): void;
}

/** Lets requests in, makes them wait, or refuses them at once. */
export interface Admission {
  admit(query: AdmissionQuery): ResultAsync<AdmissionTicket, Refusal>;
  /** Takes over a new configuration. */
  configure(cfg: SiteConfig): void;
}

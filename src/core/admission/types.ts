import type {ResultAsync} from 'neverthrow';

import type {
  ClientAccountConfig,
  ServiceConfig,
  SiteConfig,
} from '../config/types.js';
import type {Refusal} from '../errors/refusals.js';

/** Where a request stands when it asks to be let in. */
export enum WorkKind {
  /** Nothing of it has run. */
  NEW = 'new',
  /** A part of its answer was computed; it goes before new work. */
  RESUME = 'resume',
  /** It runs at a target already; it takes no further capacity. */
  RUNNING = 'running',
}

/** A request that asks to be let in. */
export interface AdmissionQuery {
  readonly clientAccount: ClientAccountConfig;
  readonly service: ServiceConfig;
  /** Time by which the answer must be whole, on the process's clock. */
  readonly deadlineAtMs: number;
  /** Tokens asked for; 0 for a plain call. */
  readonly maxTokens: number;
  /** NEW where it is left out. */
  readonly kind?: WorkKind;
  /** Aborted when the caller goes away. */
  readonly signal?: AbortSignal;
}

/** What became of a request that was let in. */
export enum TicketOutcome {
  /** It was answered whole. */
  SERVED = 'served',
  /** It was not answered whole by its deadline. */
  TIMED_OUT = 'timed_out',
  /** It failed, or its caller went away. */
  FAILED = 'failed',
}

/** A request that was let in; it must be released exactly once. */
export interface AdmissionTicket {
  /** Ends the request; SERVED where no outcome is given. */
  release(outcome?: TicketOutcome): void;
}

/** Requests of one service that this entry may have at its targets. */
export interface ServiceSlots {
  readonly service: string;
  readonly slots: number;
  /** Part of the slots that only resumes may take. */
  readonly resumeSlots: number;
}

/** The share of the site's capacity that falls to this entry. */
export interface EntryCapacity {
  /** Entries between which client accounts' limits are split; at least 1. */
  readonly liveEntries: number;
  readonly services: readonly ServiceSlots[];
}

/** Lets requests in, makes them wait, or refuses them at once. */
export interface Admission {
  admit(query: AdmissionQuery): ResultAsync<AdmissionTicket, Refusal>;
  /** Takes over a new configuration. */
  configure(cfg: SiteConfig): void;
  /** Takes over new capacity and refuses what can no longer be met. */
  resize(load: EntryCapacity): void;
}

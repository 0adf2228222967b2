import type {ResultAsync} from 'neverthrow';

import type {
  ClientAccountConfig,
  ServiceConfig,
  SiteConfig,
} from '../config/types.js';
import type {Refusal} from '../errors/refusals.js';

/** State of a request when admission is requested. */
export enum WorkKind {
  /** No part of it has run. */
  NEW = 'new',
  /** Part of its output was generated; it goes before new requests. */
  RESUME = 'resume',
  /** It already runs at a target and takes no further capacity. */
  RUNNING = 'running',
}

/** A request for admission. */
export interface AdmissionQuery {
  readonly clientAccount: ClientAccountConfig;
  readonly service: ServiceConfig;
  /** Time by which the response must be complete, on the process's clock. */
  readonly deadlineAtMs: number;
  /** Requested tokens; 0 for a plain call. */
  readonly maxTokens: number;
  /** NEW by default. */
  readonly kind?: WorkKind;
  /** Aborted when the caller disconnects. */
  readonly signal?: AbortSignal;
}

/** How an admitted request ended. */
export enum TicketOutcome {
  /** The response was completed. */
  SERVED = 'served',
  /** The response was not complete by the deadline. */
  TIMED_OUT = 'timed_out',
  /** It failed, or its caller disconnected. */
  FAILED = 'failed',
}

/** Permit of an admitted request; must be released when the request ends. */
export interface AdmissionTicket {
  /**
   * Ends the request; the outcome is SERVED by default. Further calls have no
   * effect.
   */
  release(outcome?: TicketOutcome): void;
}

/** Requests that this entry may have in flight at the targets of a service. */
export interface ServiceSlots {
  readonly service: string;
  readonly slots: number;
  /** Number of these slots that only resumed requests may use. */
  readonly resumeSlots: number;
}

/** This entry's share of the site's capacity. */
export interface EntryCapacity {
  /** Entries among which client accounts' limits are split; at least 1. */
  readonly liveEntries: number;
  readonly services: readonly ServiceSlots[];
}

/** Admits, queues or refuses requests. */
export interface Admission {
  admit(query: AdmissionQuery): ResultAsync<AdmissionTicket, Refusal>;
  /** Applies a new configuration. */
  configure(cfg: SiteConfig): void;
  /** Applies new capacity and refuses requests that can no longer be served. */
  resize(capacity: EntryCapacity): void;
}

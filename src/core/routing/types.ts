import type {Maybe} from 'purify-ts';

/** Known state of a target when an entry chooses one. */
export interface TargetView {
  readonly vm: string;
  readonly dataCentre: string;
  readonly service: string;
  /** Incarnation of the target's agent; empty before its greeting. */
  readonly incarnation: string;
  /** Connected, healthy, not suspected and not draining. */
  readonly usable: boolean;
  /** The target shuts down gracefully and takes no new work. */
  readonly draining: boolean;
  /** Requests of this entry in flight at the target. */
  readonly ownInFlight: number;
  /** Running requests in its last report, which may be outdated. */
  readonly running: number;
  /** Waiting requests in its last report. */
  readonly waiting: number;
  /** Requests that it can run concurrently; 0 if unknown. */
  readonly capacity: number;
  /** Prefixes that it reported as cached; may be outdated or incomplete. */
  readonly cachedPrefixes: readonly string[];
  /** Requests of this entry that the report includes; 0 by default. */
  readonly ownInReport?: number;
  /** Milliseconds since it became usable; undefined skips the slow start. */
  readonly usableForMs?: number;
}

/** What the choice of a target depends on besides the targets' state. */
export interface ChoiceQuery {
  readonly service: string;
  /** VMs at which this request has failed already. */
  readonly exclude: readonly string[];
  /** Data centre of the entry. */
  readonly dataCentre: string;
  /** Fingerprint of the prompt's prefix; empty for a plain call. */
  readonly prefix: string;
}

/** Chooses a target for a request. */
export interface TargetChooser {
  choose(options: {
    query: ChoiceQuery;
    targets: readonly TargetView[];
  }): Maybe<TargetView>;
}

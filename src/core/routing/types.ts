import type {Maybe} from 'purify-ts';

/** What an entry knows of one target when it chooses. */
export interface TargetView {
  readonly vm: string;
  readonly dataCentre: string;
  readonly service: string;
  /** Incarnation of the agent beside it; empty before it greeted. */
  readonly incarnation: string;
  /** Connected, healthy, not suspected and not leaving. */
  readonly usable: boolean;
  /** The target leaves and takes no new work. */
  readonly draining: boolean;
  /** Requests of this entry that it runs now. */
  readonly ownInFlight: number;
  /** What it last reported; lags. */
  readonly running: number;
  readonly waiting: number;
  /** Requests it runs at once; 0 when not known. */
  readonly capacity: number;
  /** Prefixes that it reported as cached; late, with gaps. */
  readonly cachedPrefixes: readonly string[];
  /** Own requests that the report counts; 0 where it is left out. */
  readonly ownInReport?: number;
  /** Time since it became usable; without end where it is left out. */
  readonly usableForMs?: number;
}

/** What a request asks of a choice. */
export interface ChoiceQuery {
  readonly service: string;
  /** VMs that this request has tried in vain. */
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

/** Types of roll-outs: the operator's order, its status and the evidence. */

/** What an operator orders: traffic of a service moves to a version. */
export interface RolloutOrder {
  readonly service: string;
  /** Version to which the traffic moves. */
  readonly target: string;
  /** Time within which it should have moved, in milliseconds. */
  readonly durationMs: number;
}

/** How far a roll-out is. */
export enum RolloutState {
  IN_PROGRESS = 'in_progress',
  /** All traffic goes to the new version, and the old targets may stop. */
  COMPLETED = 'completed',
  /** The new version was found to be bad and gets nothing any more. */
  ROLLED_BACK = 'rolled_back',
}

/** States that end an order. */
export type RolloutEnd = RolloutState.COMPLETED | RolloutState.ROLLED_BACK;

/** What the ordered version was to its service when the order came. */
export enum PriorUse {
  /** The order came before this process knew the service. */
  UNKNOWN = 'unknown',
  /** It had traffic. */
  USED = 'used',
  /** Other versions had traffic, and it had none. */
  OTHERS = 'others',
}

/** The status that the entries write. */
export interface RolloutStatus {
  readonly state: RolloutState;
  /** Version of the order to which the state belongs. */
  readonly target: string;
}

/** An order as the store holds it. */
export interface RolloutRecord extends RolloutOrder {
  /** Tells this order from others for the same service. */
  readonly id: string;
  readonly status?: RolloutStatus;
  /** Revision of the stored object, by which writes of the status are fenced. */
  readonly revision: number;
}

/** Writes the status of a roll-out. */
export enum StatusOutcome {
  WRITTEN = 'written',
  /** The object has changed since it was read. */
  CONFLICT = 'conflict',
}

/** How much of the traffic the new version gets. */
export enum RolloutStep {
  /** Few requests, within the bound on the exposure. */
  CANARY = 0,
  /** Some of its targets get their full load, still within the bound. */
  LOADED = 1,
  /** Trusted: half of the traffic. */
  HALF = 2,
  /** All of the traffic. */
  FULL = 3,
}

/** Why a version is bad. */
export enum BadReason {
  FAILURES = 'failures',
  SLOW = 'slow',
  LOST = 'lost',
}

/** Outcomes of requests at one side, on one route and in one data centre. */
export interface EvidenceCell {
  /** Whether the targets are of the new version. */
  readonly isNew: boolean;
  readonly route: string;
  readonly dataCentre: string;
  /** Id of the target; empty for the old version, whose targets are summed. */
  readonly target: string;
  /** Complete responses. */
  readonly answers: number;
  /** Responses that are failures of the target. */
  readonly failures: number;
  /** Requests whose response broke off or never came. */
  readonly lost: number;
  /** Responses whose time was compared with the old version's. */
  readonly timed: number;
  /** Of these, the ones that were several times slower. */
  readonly slow: number;
}

/** What one entry tells the others of a roll-out. */
export interface EvidenceRow {
  readonly service: string;
  /** Id of the order. */
  readonly order: string;
  readonly vm: string;
  /** Rises with each write. */
  readonly tick: number;
  /** Time for which any entry has known the order, in milliseconds. */
  readonly ageMs: number;
  readonly step: RolloutStep;
  /** Set once this entry has found the version to be bad. */
  readonly bad?: BadReason;
  /** Requests of this entry that are still at targets of the old version. */
  readonly oldOpen: number;
  /** Versions that earlier orders of the service have found bad. */
  readonly barred?: readonly string[];
  /** Whether the order turns back one that was running. */
  readonly isWayBack?: boolean;
  readonly cells: readonly EvidenceCell[];
}

/** Bounds of an installation on its roll-outs. */
export interface RolloutSettings {
  /** Share of a service's requests that a version gets until it is trusted. */
  readonly exposureShare: number;
  /** Requests beyond that share. */
  readonly exposureSlack: number;
  /** Time in which a bad version must get nothing any more, in milliseconds. */
  readonly rollbackMs: number;
}

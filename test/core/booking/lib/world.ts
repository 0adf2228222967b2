/** A world around the decision code, as plain data. */
import type {
  BookingEffect,
  BookingState,
  CallEffect,
  EvidenceKind,
  StoredClaim,
} from '../../../../src/core/booking/index.js';
import type {Executed} from '../../../../src/core/errors/index.js';
import type {KeyPhase} from '../../../../src/core/protocol/index.js';

/** One agent; only what concerns the one key. */
export interface SimAgent {
  incarnation: number;
  takesWork: boolean;
  /** Undefined while the key was not seen. */
  phase?: KeyPhase;
  fingerprint: string;
  recorded: boolean;
  /** The number of the execution whose answer came back; 0 for none. */
  execution: number;
}

/** One request of a caller at one entry. */
export interface SimRequest {
  readonly entry: number;
  readonly state: BookingState;
  late: boolean;
  /** Its caller waits no longer and hears no answer. */
  hungUp: boolean;
  /** Answered to the caller: no, yes, unknown. */
  told?: Executed;
  evidence?: EvidenceKind;
  /** Executions of its body when it was answered. */
  ranWhenTold: number;
  /** Writes that it has asked for. */
  writes: number;
  execution: number;
}

/** What is under way. */
export type Flight =
  /** An effect whose answer its request may still wait for. */
  | {
      readonly at: 'request';
      readonly request: number;
      readonly effect: BookingEffect;
    }
  /** A write or call whose answer nobody waits for. */
  | {readonly at: 'write'; readonly effect: BookingEffect}
  | {
      readonly at: 'call';
      readonly effect: CallEffect;
      readonly fingerprint: string;
    }
  /** A call that the agent took in; its answer is awaited. */
  | {
      readonly at: 'reply';
      readonly request: number;
      readonly agent: number;
      readonly incarnation: number;
    }
  | {readonly at: 'service'; readonly agent: number; readonly run: RunId};

export interface RunId {
  readonly incarnation: number;
  readonly fingerprint: string;
}

/** Everything; plain data, so that it can be copied and compared. */
export interface World {
  claim?: StoredClaim;
  version: number;
  storeUp: boolean;
  agents: SimAgent[];
  entriesUp: boolean[];
  requests: SimRequest[];
  flights: Flight[];
  /** Executions at the service, by body. */
  executions: Record<string, number>;
  /** Executions whose outcome an incarnation recorded. */
  recorded: Record<string, number>;
}

/** What a schedule may do, and how often. */
export interface WorldLimits {
  readonly agents: number;
  readonly requests: number;
  readonly bodies: readonly string[];
  readonly restarts: number;
}

/** One thing that can happen now. */
export interface Action {
  readonly name: string;
  readonly run: (world: World) => void;
}

export function createWorld(limits: WorldLimits): World {
  return {
    version: 0,
    storeUp: true,
    agents: Array.from({length: limits.agents}, (_, i) => ({
      incarnation: i * 100,
      takesWork: true,
      fingerprint: '',
      recorded: false,
      execution: 0,
    })),
    entriesUp: [true, true],
    requests: [],
    flights: [],
    executions: {},
    recorded: {},
  };
}

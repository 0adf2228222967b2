/** Simulated store, agents, entries and service, as plain data. */
import type {
  BookingEffect,
  BookingState,
  CallEffect,
  EvidenceKind,
  StoredClaim,
} from '../../../../src/core/booking/index.js';
import type {Executed} from '../../../../src/core/errors/index.js';
import type {KeyPhase} from '../../../../src/core/protocol/index.js';

/** State of one agent, limited to the one key. */
export interface SimAgent {
  incarnation: number;
  takesWork: boolean;
  /** Undefined until the agent has seen the key. */
  phase?: KeyPhase;
  fingerprint: string;
  recorded: boolean;
  /** Number of the execution that returned its response; 0 for none. */
  execution: number;
}

/** One request of a caller to one entry. */
export interface SimRequest {
  readonly entry: number;
  readonly state: BookingState;
  late: boolean;
  /** Whether the caller disconnected and receives no response. */
  hungUp: boolean;
  /** Verdict in the response to the caller; undefined until it is sent. */
  reportedRan?: Executed;
  evidence?: EvidenceKind;
  /** Executions of its body at the time of the response. */
  ranWhenAnswered: number;
  /** Writes that it has started. */
  writes: number;
  execution: number;
}

/** An effect, message or execution in progress. */
export type InFlight =
  /** An effect whose result its request may still wait for. */
  | {
      readonly at: 'request';
      readonly request: number;
      readonly effect: BookingEffect;
    }
  /** A write or call whose result no request waits for. */
  | {readonly at: 'write'; readonly effect: BookingEffect}
  | {
      readonly at: 'call';
      readonly effect: CallEffect;
      readonly fingerprint: string;
    }
  /** A call that the agent received; its request waits for the response. */
  | {
      readonly at: 'reply';
      readonly request: number;
      readonly agent: number;
      readonly incarnation: number;
    }
  | {readonly at: 'service'; readonly agent: number; readonly run: RunId};

/** Identifies an execution by agent incarnation and body. */
export interface RunId {
  readonly incarnation: number;
  readonly fingerprint: string;
}

/** The complete state; plain data, so that it can be copied and compared. */
export interface World {
  claim?: StoredClaim;
  version: number;
  storeUp: boolean;
  agents: SimAgent[];
  entriesUp: boolean[];
  requests: SimRequest[];
  inFlight: InFlight[];
  /** Number of executions at the service, by body. */
  executions: Record<string, number>;
  /** Execution whose outcome an agent recorded, by incarnation. */
  recorded: Record<string, number>;
}

/** Limits of a schedule. */
export interface WorldLimits {
  readonly agents: number;
  readonly requests: number;
  readonly bodies: readonly string[];
  readonly restarts: number;
}

/** A possible next action. */
export interface Action {
  readonly name: string;
  readonly run: (world: World) => void;
}

/** Returns the initial state. */
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
    inFlight: [],
    executions: {},
    recorded: {},
  };
}

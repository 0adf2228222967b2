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
  /** State of the key; undefined until the agent has seen the key. */
  phase?: KeyPhase;
  fingerprint: string;
  /** Whether the outcome is recorded in the platform. */
  isRecorded: boolean;
  /** Number of the execution that returned its response; 0 for none. */
  execution: number;
}

/** One request of a caller to one entry. */
export interface SimRequest {
  readonly entry: number;
  readonly state: BookingState;
  /** Whether its deadline has passed. */
  isPastDeadline: boolean;
  /** Whether the caller disconnected and receives no response. */
  hasDisconnected: boolean;
  /** Verdict in the response to the caller; undefined until it is sent. */
  verdict?: Executed;
  /** Evidence of the refusal; undefined if there was none. */
  evidence?: EvidenceKind;
  /** Executions of its body at the time of the response. */
  executionsAtResponse: number;
  /** Writes that it has started. */
  writes: number;
  /** Number of the execution whose response it returned; 0 for none. */
  execution: number;
}

/** An effect, message or execution in progress. */
export type InFlight =
  /** An effect whose result its request may still wait for. */
  | {
      readonly kind: 'request';
      readonly request: number;
      readonly effect: BookingEffect;
    }
  /** A write whose result no request waits for. */
  | {readonly kind: 'write'; readonly effect: BookingEffect}
  /** A call whose result no request waits for. */
  | {
      readonly kind: 'call';
      readonly effect: CallEffect;
      readonly fingerprint: string;
    }
  /** A call that the agent received; its request waits for the response. */
  | {
      readonly kind: 'reply';
      readonly request: number;
      readonly agent: number;
      readonly incarnation: number;
    }
  | {
      readonly kind: 'service';
      readonly agent: number;
      readonly id: ExecutionId;
    };

/** Identifies an execution by agent incarnation and body. */
export interface ExecutionId {
  readonly incarnation: number;
  readonly fingerprint: string;
}

/** The complete state; plain data, so that it can be copied and compared. */
export interface World {
  claim?: StoredClaim;
  /** Version of the latest claim; 0 for none. */
  version: number;
  isStoreUp: boolean;
  agents: SimAgent[];
  /** Whether each entry runs. */
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
  /** Bodies that a request may have; one that is listed twice is likelier. */
  readonly bodies: readonly string[];
  /** Maximum restarts of each agent. */
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
    isStoreUp: true,
    agents: Array.from({length: limits.agents}, (_, i) => ({
      // Leaves room for the incarnations after restarts.
      incarnation: i * 100,
      takesWork: true,
      fingerprint: '',
      isRecorded: false,
      execution: 0,
    })),
    entriesUp: [true, true],
    requests: [],
    inFlight: [],
    executions: {},
    recorded: {},
  };
}

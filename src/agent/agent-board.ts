import {Cell} from '../core/blackboard/index.js';
import {TargetPhase} from '../core/protocol/index.js';

/** Last report of the target. */
export interface TargetReport {
  /** Requests that the target runs. */
  readonly running: number;
  /** Requests that wait at the target. */
  readonly waiting: number;
  /** Requests that it can run concurrently; 0 if unknown. */
  readonly capacity: number;
  /** Id of the engine process; empty for a plain service. */
  readonly instance: string;
  /** Fingerprints of cached prompt prefixes; empty for a plain service. */
  readonly cachedPrefixes: readonly string[];
}

const NO_REPORT: TargetReport = {
  running: 0,
  waiting: 0,
  capacity: 0,
  instance: '',
  cachedPrefixes: [],
};

/** The shared state of an agent. */
export class AgentBoard {
  /** State of the target according to the probes. */
  readonly phase = new Cell<TargetPhase>(TargetPhase.DOWN);
  readonly report = new Cell<TargetReport>(NO_REPORT);
  readonly draining = new Cell(false);
  /** Highest configuration version received; 0 for none. */
  readonly configVersion = new Cell(0);
}

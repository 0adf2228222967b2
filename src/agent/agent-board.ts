import {Cell} from '../core/blackboard/index.js';
import {TargetPhase} from '../core/protocol/index.js';

/** Last report of the target. */
export interface TargetReport {
  readonly running: number;
  readonly waiting: number;
  readonly capacity: number;
  readonly instance: string;
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
  readonly phase = new Cell<TargetPhase>(TargetPhase.DOWN);
  readonly report = new Cell<TargetReport>(NO_REPORT);
  readonly draining = new Cell(false);
  readonly configVersion = new Cell(0);
}

/** What an entry reads and writes of roll-outs. */
import type {EvidenceRow, RolloutRecord} from '../rollouts/types.js';
import type {RolloutStatusWriter} from './rollout-status.js';
import type {StateSource} from './state-source.js';
import type {StateWriter} from './state-writer.js';

/** External dependencies of the roll-outs of an entry. */
export interface RolloutEdges {
  /** The operator's orders with their status, by service. */
  readonly orders: StateSource<RolloutRecord>;
  readonly status: RolloutStatusWriter;
  /** What entries tell of a roll-out, by service and VM. */
  readonly evidenceSource: StateSource<EvidenceRow>;
  readonly evidenceWriter: StateWriter<EvidenceRow>;
}

/** Writes the status of roll-outs to the platform's store. */
import type {ResultAsync} from 'neverthrow';

import type {RolloutStatus, StatusOutcome} from '../rollouts/types.js';
import type {SourceError} from './state-source.js';

/** Writes a status only if its order has not changed since it was read. */
export interface RolloutStatusWriter {
  write(options: {
    service: string;
    status: RolloutStatus;
    /** Revision of the object that was read. */
    revision: number;
  }): ResultAsync<StatusOutcome, SourceError>;
}

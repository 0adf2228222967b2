/** Writes the status of roll-outs where this entry is the one to do so. */
import type {Clock} from '../../core/clock/index.js';
import type {RolloutStatusWriter} from '../../core/edges/rollout-status.js';
import type {Logger} from '../../core/logs/index.js';
import type {RolloutState} from '../../core/rollouts/index.js';
import type {Supervisor} from '../../core/supervision/index.js';
import {TaskName} from '../../core/supervision/index.js';
import {STATUS_RETRY_MS} from './consts.js';
import type {Rollout} from './rollout.js';

/** Dependencies of the writing. */
export interface StatusWritingOptions {
  readonly writer: RolloutStatusWriter;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly supervisor: Supervisor;
}

/** A write that was tried, and for which revision. */
interface TriedWrite {
  readonly atMs: number;
  readonly state: RolloutState;
  readonly revision: number;
}

/**
 * Writes a status for the revision that this entry has read. The store refuses
 * the write of an entry that comes late, and the next read shows it why.
 *
 * @example
 * new StatusWriting(options).update(rollout);
 */
export class StatusWriting {
  private readonly tried = new Map<string, TriedWrite>();

  constructor(private readonly options: StatusWritingOptions) {}

  /** Writes the status of a roll-out if it is due here. */
  update(rollout: Rollout): void {
    const {clock, supervisor} = this.options;
    const {controller, oldOpen} = rollout;
    const state = controller.stateToWrite(oldOpen);
    if (state === undefined) return;
    const {service, target, revision} = controller.record;
    const last = this.tried.get(service);
    const isSame = last?.state === state && last.revision === revision;
    if (isSame && clock.now() - last.atMs < STATUS_RETRY_MS) return;
    this.tried.set(service, {atMs: clock.now(), state, revision});
    supervisor.run({name: TaskName.ROLLOUT}, async () => {
      const {writer, logger} = this.options;
      const result = await writer.write({
        service,
        status: {state, target},
        revision,
      });
      const outcome = result.match(
        (written) => String(written),
        ({detail}) => detail,
      );
      logger.info('roll-out status', {service, target, state, outcome});
    });
  }
}

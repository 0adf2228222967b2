/** Creates what follows roll-outs, where there are some. */
import type {RolloutEdges} from '../../core/edges/rollout-edges.js';
import type {DirectSettings} from '../../core/settings/direct-settings.js';
import type {RolloutKeeperOptions} from './rollout-keeper.js';
import {RolloutKeeper} from './rollout-keeper.js';

/** Dependencies of an entry that may have roll-outs. */
export interface CreateRolloutKeeperOptions extends Omit<
  RolloutKeeperOptions,
  'vm' | 'settings' | 'edges'
> {
  readonly settings: Pick<DirectSettings, 'vm' | 'rollout'>;
  readonly rollouts?: RolloutEdges;
}

/**
 * Returns undefined where the settings name no bounds of roll-outs: nothing is
 * read or written then.
 *
 * @example
 * const versions = createRolloutKeeper({...options, gate});
 */
export function createRolloutKeeper(
  options: CreateRolloutKeeperOptions,
): RolloutKeeper | undefined {
  const {rollouts, settings, ...rest} = options;
  if (rollouts === undefined || settings.rollout === undefined)
    return undefined;
  const {vm, rollout} = settings;
  return new RolloutKeeper({...rest, vm, settings: rollout, edges: rollouts});
}

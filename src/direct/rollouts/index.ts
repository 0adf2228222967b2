/** Roll-outs of new versions at a direct entry. */
export {RolloutKeeper} from './rollout-keeper.js';
export {createRolloutKeeper} from './create-rollout-keeper.js';

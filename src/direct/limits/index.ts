/** Keeps the sends of direct entries within the limits that targets name. */
export {LimitKeeper} from './limit-keeper.js';
export {MEMBER_SILENCE_MS, PERMIT_TIMEOUT_MS} from './consts.js';
export {
  toAskPermit,
  toPermit,
  toPermitAnswer,
  toPermitQuery,
} from './permit-codec.js';
export {PermittedChoice} from './permitted-choice.js';

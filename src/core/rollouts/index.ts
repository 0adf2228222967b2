/** Decides on roll-outs: how much a new version gets, and whether it is bad. */
export {SLOW_FACTOR, SLOW_HEAD_FACTOR, WINDOWS_MS} from './consts.js';
export {
  currentState,
  decideStatus,
  isOver,
  writerRank,
} from './decide-status.js';
export {
  decideStep,
  isWithinBound,
  openTargets,
  shareOf,
} from './decide-step.js';
export type {CellCounts, CellPlace} from './evidence.js';
export {Evidence, mergeCells} from './evidence.js';
export {EvidenceHistory} from './evidence-history.js';
export {EVIDENCE_ROW} from './evidence-row.js';
export {ExposureBudget} from './exposure-budget.js';
export {judgeVersion} from './judge-version.js';
export {ProcessDelays} from './process-delays.js';
export type {SeenVersions} from './rollout-controller.js';
export {RolloutController} from './rollout-controller.js';
export {rowIntervalMs} from './silence.js';
export {slackShare} from './slack-share.js';
export {SlowTimes} from './slow-times.js';
export type {
  EvidenceCell,
  EvidenceRow,
  RolloutEnd,
  RolloutOrder,
  RolloutRecord,
  RolloutSettings,
  RolloutStatus,
} from './types.js';
export {
  BadReason,
  PriorUse,
  RolloutState,
  RolloutStep,
  StatusOutcome,
} from './types.js';
export {VersionBaseline} from './version-baseline.js';

import {RecoveryGoal} from '../config/types.js';
import type {SuspicionBounds} from './types.js';

/** Gaps that the threshold remembers. */
export const GAP_SAMPLES = 64;

/** A silence is suspect beyond the longest gap kept, times this. */
export const GAP_FACTOR = 3;

/** Bounds while work runs at the peer, by what the deployment weighs. */
export const BUSY_BOUNDS: Readonly<Record<RecoveryGoal, SuspicionBounds>> = {
  [RecoveryGoal.LATENCY]: {floorMs: 450, ceilingMs: 1_500},
  [RecoveryGoal.RESOURCES]: {floorMs: 1_200, ceilingMs: 1_800},
};

/** Bounds while no work runs there. */
export const IDLE_BOUNDS: SuspicionBounds = {
  floorMs: 2_500,
  ceilingMs: 5_000,
};

/** Targets of each service that an entry draws for itself. */
export const SUBSET_SIZE = 32;

/** Entries that watch a target whoever else draws it. */
export const WATCHERS_PER_TARGET = 2;

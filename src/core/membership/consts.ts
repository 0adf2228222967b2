import {RecoveryGoal} from '../config/types.js';
import type {SuspicionBounds} from './types.js';

/** Number of recent gaps from which a timeout is computed. */
export const GAP_SAMPLES = 64;

/** Timeout as a multiple of the longest recent gap. */
export const GAP_FACTOR = 3;

/**
 * Bounds while work runs at the peer, by the recovery goal of the deployment.
 */
export const BUSY_BOUNDS: Readonly<Record<RecoveryGoal, SuspicionBounds>> = {
  [RecoveryGoal.LATENCY]: {floorMs: 450, ceilingMs: 1_500},
  [RecoveryGoal.RESOURCES]: {floorMs: 1_200, ceilingMs: 1_800},
};

/** Bounds while no work runs at the peer. */
export const IDLE_BOUNDS: SuspicionBounds = {
  floorMs: 2_500,
  ceilingMs: 5_000,
};

/** Maximum number of targets of each service in the subset of an entry. */
export const SUBSET_SIZE = 32;

/**
 * Number of entries that watch each target whether it is in their subset or
 * not.
 */
export const WATCHERS_PER_TARGET = 2;

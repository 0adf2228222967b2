/**
 * Schedule of the crowds and of the targets that respond early. It draws from a
 * generator of its own, so that a seed keeps the faults of `createPlan` and
 * `createStartPlan`.
 */
import {RECOVERY_MS} from './consts.js';
import {createSeriesRandom} from './start-plan.js';

/** Kinds of faults of those to whom an entry is connected. */
export enum WireFaultKind {
  /** Clients at one port of an entry send ahead and read nothing. */
  CROWD = 'crowd',
  /** A target responds before it has read its requests; see `EarlyResponse`. */
  EARLY_RESPONSE = 'early_response',
}

/** One scheduled fault. */
export interface PlannedWireFault {
  readonly kind: WireFaultKind;
  /** Time since the start of the run, in milliseconds. */
  readonly atMs: number;
  readonly durationMs: number;
  /** Random value from 0 to 1 that selects the affected component. */
  readonly part: number;
  /** Random value from 0 to 1 that selects a variant of the fault. */
  readonly variant: number;
}

const FIRST_FAULT_MS = 400;
const MIN_DURATION_MS = 1_000;
const MAX_DURATION_MS = 2_000;

/** Longest time from the end of a fault to the next one. */
const MAX_GAP_MS = 1_000;

/** Offset from the seed of a run to the seed of this plan. */
const SEED_OFFSET = 900_000_007;

/**
 * Generates the faults of one run. Each kind comes once before any comes again,
 * and no two play at once.
 *
 * @example
 * const plan = createWirePlan({seed: 7, durationMs: 20_000});
 */
export function createWirePlan(options: {
  seed: number;
  durationMs: number;
}): PlannedWireFault[] {
  const random = createSeriesRandom(options.seed + SEED_OFFSET);
  const endMs = options.durationMs - RECOVERY_MS;
  const plan: PlannedWireFault[] = [];
  let kinds: WireFaultKind[] = [];
  let atMs = FIRST_FAULT_MS;
  while (atMs < endMs) {
    if (kinds.length === 0) kinds = Object.values(WireFaultKind);
    const [kind] = kinds.splice(random.below(kinds.length), 1);
    const durationMs =
      MIN_DURATION_MS + random.below(MAX_DURATION_MS - MIN_DURATION_MS);
    const [part, variant] = [random.float(), random.float()];
    plan.push({kind: kind!, atMs, durationMs, part, variant});
    atMs += durationMs + random.below(MAX_GAP_MS);
  }
  return plan;
}

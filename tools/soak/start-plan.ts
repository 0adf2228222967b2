/**
 * Schedule of the signals and held ports around starts of entries. It draws from
 * a generator of its own, so that a seed keeps the faults of `createPlan`.
 */
import type {RandomSource} from '../../src/core/clock/index.js';
import {SeededRandom} from '../../src/core/clock/index.js';
import {RECOVERY_MS} from './consts.js';

/** Kinds of faults around the start of an entry. */
export enum StartFaultKind {
  /** A series of SIGHUPs from the moment a restarted entry handles signals. */
  START_RELOADS = 'start_reloads',
  /** Planned stops at random moments of consecutive starts. */
  START_STOPS = 'start_stops',
  /** Changed settings and SIGHUPs while an entry drains, starts and works. */
  RESTART_RELOADS = 'restart_reloads',
  /** Ports of a restarted entry are still in use. */
  PORTS_HELD = 'ports_held',
}

/** One scheduled fault around a start. */
export interface PlannedStartFault {
  readonly kind: StartFaultKind;
  /** Time since the start of the run, in milliseconds. */
  readonly atMs: number;
  /** Random value from 0 to 1 that selects the entry. */
  readonly part: number;
  /** Seed of the draws within the fault. */
  readonly seed: number;
}

const FIRST_FAULT_MS = 300;
const MAX_GAP_MS = 2_400;

/** Offset from the seed of a run to the seed of this plan. */
const SEED_OFFSET = 500_000_003;

const MAX_SERIES_SEED = 2 ** 31;

/** First draws, which are alike for all seeds. */
const SKIPPED_DRAWS = 32;

/**
 * Generates the faults of one run. Each kind comes once before any comes again.
 *
 * @example
 * const plan = createStartPlan({seed: 7, durationMs: 20_000});
 */
export function createStartPlan(options: {
  seed: number;
  durationMs: number;
}): PlannedStartFault[] {
  const random = createSeriesRandom(options.seed + SEED_OFFSET);
  const endMs = options.durationMs - RECOVERY_MS;
  const plan: PlannedStartFault[] = [];
  let kinds: StartFaultKind[] = [];
  let atMs = FIRST_FAULT_MS;
  while (atMs < endMs) {
    if (kinds.length === 0) kinds = Object.values(StartFaultKind);
    const [kind] = kinds.splice(random.below(kinds.length), 1);
    plan.push({
      kind: kind!,
      atMs,
      part: random.float(),
      seed: random.below(MAX_SERIES_SEED),
    });
    atMs += random.below(MAX_GAP_MS);
  }
  return plan;
}

/**
 * Creates a generator whose first draws differ from seed to seed.
 *
 * @example
 * const random = createSeriesRandom(planned.seed);
 */
export function createSeriesRandom(seed: number): RandomSource {
  const random = new SeededRandom(seed);
  for (let draw = 0; draw < SKIPPED_DRAWS; draw++) random.float();
  return random;
}

/** Schedule of the faults of a run, generated from a seed. */
import {SeededRandom} from '../../src/core/clock/index.js';
import {RECOVERY_MS} from './consts.js';

/**
 * Kinds of injected faults and planned changes. A cut connection stays open but
 * forwards no data; `ONE_WAY` cuts only one direction.
 */
export enum FaultKind {
  ENTRY_KILL = 'entry_kill',
  ENTRY_PAUSE = 'entry_pause',
  ENTRY_STOP = 'entry_stop',
  ENTRY_CLOCK_STEP = 'entry_clock_step',
  /** The settings file is incomplete for a time. */
  ENTRY_SETTINGS_TORN = 'entry_settings_torn',
  ENTRY_STORE_CUT = 'entry_store_cut',
  ENTRY_STORE_ONE_WAY = 'entry_store_one_way',
  ENTRY_STORE_RESET = 'entry_store_reset',
  STORE_BUSY = 'store_busy',
  STORE_SILENT = 'store_silent',
  STORE_RESET = 'store_reset',
  STORE_PAUSE = 'store_pause',
  /** The store discards its change history, so watches must start again. */
  STORE_HISTORY_LOST = 'store_history_lost',
  /** The store ends all open long polls early. */
  STORE_WAITERS_CUT = 'store_waiters_cut',
  /** The store contains a malformed target for a time. */
  STORE_JUNK = 'store_junk',
  TARGET_KILL = 'target_kill',
  TARGET_PAUSE = 'target_pause',
  /** A target is registered as draining and later replaced. */
  TARGET_LEAVE = 'target_leave',
  /** A target responds incorrectly; see `TargetFault`. */
  TARGET_FAULTY = 'target_faulty',
  TARGET_CUT = 'target_cut',
  TARGET_ONE_WAY = 'target_one_way',
  TARGET_RESET = 'target_reset',
  TARGET_DELAY = 'target_delay',
  ZONE_KILL = 'zone_kill',
  ZONE_CUT = 'zone_cut',
  CONFIG_CHANGE = 'config_change',
}

/** One scheduled fault. */
export interface PlannedFault {
  readonly kind: FaultKind;
  /** Time since the start of the run, in milliseconds. */
  readonly atMs: number;
  readonly durationMs: number;
  /** Random value from 0 to 1 that selects the affected component. */
  readonly part: number;
  /** Random value from 0 to 1 that selects a variant of the fault. */
  readonly variant: number;
}

const MIN_DURATION_MS = 150;
const MAX_DURATION_MS = 4_000;

/** Longest gaps between the starts of two faults; short gaps cause overlaps. */
const SHORT_GAP_MS = 150;
const LONG_GAP_MS = 2_200;
const SHORT_GAP_SHARE = 0.45;

/** Time before the first fault. */
const FIRST_FAULT_MS = 500;

/** Frequency of configuration changes relative to each other kind. */
const CONFIG_WEIGHT = 4;

/**
 * Generates the faults of one run.
 *
 * @example
 * const plan = createPlan({seed: 7, durationMs: 20_000});
 */
export function createPlan(options: {
  seed: number;
  durationMs: number;
}): PlannedFault[] {
  const random = new SeededRandom(options.seed);
  const kinds = weightedKinds();
  const endMs = options.durationMs - RECOVERY_MS;
  const plan: PlannedFault[] = [];
  let atMs = FIRST_FAULT_MS;
  while (atMs < endMs) {
    const longestMs = Math.min(MAX_DURATION_MS, endMs - atMs);
    // Squared, so that short faults are more frequent than long ones.
    const lengthShare = random.float() ** 2;
    plan.push({
      kind: kinds[random.below(kinds.length)]!,
      atMs,
      durationMs: Math.round(MIN_DURATION_MS + lengthShare * longestMs),
      part: random.float(),
      variant: random.float(),
    });
    const isShort = random.float() < SHORT_GAP_SHARE;
    const gapMs = isShort ? SHORT_GAP_MS : LONG_GAP_MS;
    atMs += Math.round(random.float() * gapMs);
  }
  return plan;
}

function weightedKinds(): FaultKind[] {
  const kinds = Object.values(FaultKind);
  const extra = Array<FaultKind>(CONFIG_WEIGHT - 1);
  return [...kinds, ...extra.fill(FaultKind.CONFIG_CHANGE)];
}

/** Schedule of the disturbances of a replay, drawn from a seed. */
import {SeededRandom} from '../../src/core/clock/index.js';
import {CALM_MS} from './consts.js';

/** Kinds of disturbances. */
export enum DisturbanceKind {
  ENTRY_KILL = 'entry_kill',
  /** Several entries at once. */
  HERD_KILL = 'herd_kill',
  POWER_LOSS = 'power_loss',
  ENTRY_STOP = 'entry_stop',
  /** All entries are stopped and started, one after another. */
  ROLL = 'roll',
  HUP = 'hup',
  HUP_CHANGED = 'hup_changed',
  /** SIGHUP while an entry starts after a kill. */
  HUP_AT_START = 'hup_at_start',
  SETTINGS_TORN = 'settings_torn',
  ENTRY_PAUSE = 'entry_pause',
  STORE_RESET = 'store_reset',
  STORE_BUSY = 'store_busy',
  STORE_SILENT = 'store_silent',
  STORE_SLOW = 'store_slow',
  STORE_RESTORED = 'store_restored',
  STORE_HISTORY_LOST = 'store_history_lost',
  /** The store resets the connections of one entry. */
  ENTRY_STORE_RESET = 'entry_store_reset',
  TARGET_CRASH = 'target_crash',
  ZONE_CRASH = 'zone_crash',
  TARGET_LEAVE = 'target_leave',
  TARGET_FAULT = 'target_fault',
  TARGET_SILENT = 'target_silent',
  /** The targets of a service are replaced one after another. */
  RELEASE = 'release',
  CONFIG_STORM = 'config_storm',
  BIG_CONFIG = 'big_config',
  BURST = 'burst',
  BIG_BODIES = 'big_bodies',
  UNREAD_STREAMS = 'unread_streams',
  ABANDONED_STREAMS = 'abandoned_streams',
}

/** One scheduled disturbance. */
export interface Disturbance {
  readonly kind: DisturbanceKind;
  /** Time since the start of the run, in milliseconds. */
  readonly atMs: number;
  readonly durationMs: number;
  /** Random value from 0 to 1 that selects the affected component. */
  readonly part: number;
  /** Random value from 0 to 1 that selects a variant. */
  readonly variant: number;
}

const {ENTRY_KILL, HERD_KILL, POWER_LOSS, ENTRY_STOP, HUP, HUP_CHANGED} =
  DisturbanceKind;

/** Kinds that are drawn more often than the others. */
const FREQUENT = [
  ...[ENTRY_KILL, HERD_KILL, HERD_KILL, POWER_LOSS, ENTRY_STOP],
  ...[HUP, HUP_CHANGED],
];

const FIRST_AT_MS = 1_500;
const MIN_DURATION_MS = 100;
const MAX_DURATION_MS = 4_500;

/** Longest gaps between two starts; short gaps cause overlaps. */
const SHORT_GAP_MS = 200;
const LONG_GAP_MS = 2_000;
const SHORT_GAP_SHARE = 0.4;

/**
 * Draws the disturbances of one run.
 *
 * @example
 * const plan = createPlan({seed: 7, durationMs: 40_000});
 */
export function createPlan(options: {
  seed: number;
  durationMs: number;
}): Disturbance[] {
  const random = new SeededRandom(options.seed);
  const kinds = [...Object.values(DisturbanceKind), ...FREQUENT];
  const endMs = options.durationMs - CALM_MS;
  const plan: Disturbance[] = [];
  let atMs = FIRST_AT_MS;
  while (atMs < endMs) {
    const lengthShare = random.float() ** 2;
    plan.push({
      kind: kinds[random.below(kinds.length)]!,
      atMs,
      durationMs: Math.round(MIN_DURATION_MS + lengthShare * MAX_DURATION_MS),
      part: random.float(),
      variant: random.float(),
    });
    const isShort = random.float() < SHORT_GAP_SHARE;
    const gapMs = isShort ? SHORT_GAP_MS : LONG_GAP_MS;
    atMs += Math.round(random.float() * gapMs);
  }
  return plan;
}
